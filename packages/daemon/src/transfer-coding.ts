/**
 * The transfer codings of messages that are passed on.
 *
 * @packageDocumentation
 */

/**
 * Returns whether a body can be passed on: only the coding `chunked` is removed here, so that a body with another one would arrive
 * without it.
 *
 * @param coding - Value of the header `Transfer-Encoding`; `undefined` if there is none.
 */
export const isSupportedTransferCoding = (coding: string | undefined): boolean =>
    coding === undefined || coding.toLowerCase() === "chunked";
