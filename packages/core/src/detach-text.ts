/**
 * Copies of texts.
 *
 * @packageDocumentation
 */

/**
 * Copies a text. V8 represents a part of a longer text, such as the result of `slice`, as a reference to that text, which stays in
 * memory for as long as the part.
 *
 * @param text - The text, without unpaired surrogates.
 * @returns An equal text that refers to no other one.
 */
export const detachText = (text: string): string => Buffer.from(text).toString();
