/**
 * Requests as callers send them.
 */

export const read = (path: string): string => `GET /read/${path} HTTP/1.1\r\nhost: x\r\n\r\n`;
/** A request with a body of known length. */
export const withLength = (start: string, size: number): string =>
    `${start} HTTP/1.1\r\nhost: x\r\ncontent-length: ${size}\r\n\r\n${"b".repeat(size)}`;
/** A request with a body in one chunk. */
export const chunked = (start: string, size: number): string =>
    `${start} HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n${size.toString(16)}\r\n${"b".repeat(size)}\r\n0\r\n\r\n`;
