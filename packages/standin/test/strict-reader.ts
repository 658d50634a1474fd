/**
 * Reads HTTP requests strictly and without the parser of Node, as an upstream of another make does.
 */

/** A request as an upstream reads it. */
export interface ReadRequest {
    readonly method: string;
    readonly target: string;
    /** Names in lower case and values, in their order. */
    readonly headers: readonly (readonly [string, string])[];
    readonly body: string;
}

/** What a connection carried: requests, and the bytes that are no request. */
export interface ReadStream {
    readonly requests: readonly ReadRequest[];
    readonly rest: string;
}

const headPattern = /^([A-Z-]+) (\S+) HTTP\/1\.1\r\n((?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n]*\r\n)*)\r\n/;

/** Returns the values of a header. */
export const valuesOf = (headers: ReadRequest["headers"], name: string): readonly string[] =>
    headers.filter(([other]) => other === name).map(([, value]) => value);

/** Reads all requests of a connection; stops at the first bytes that are no complete request. */
export const readStream = (text: string): ReadStream => {
    const requests: ReadRequest[] = [];
    let rest = text;
    for (let next = readRequest(rest); next !== undefined; next = readRequest(rest)) {
        requests.push(next.request);
        rest = next.rest;
    }
    return { requests, rest };
};

const readRequest = (text: string): { readonly request: ReadRequest; readonly rest: string; } | undefined => {
    const match = headPattern.exec(text);
    if (match === null) {
        return undefined;
    }
    const [head, method = "", target = "", lines = ""] = match;
    const headers = lines.split("\r\n").slice(0, -1).map((line): readonly [string, string] => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    });
    const body = readBody(headers, text.slice(head.length));
    return body && { request: { method, target, headers, body: body.text }, rest: body.rest };
};

const readBody = (
    headers: ReadRequest["headers"],
    text: string,
): { readonly text: string; readonly rest: string; } | undefined => {
    const lengths = valuesOf(headers, "content-length");
    const codings = valuesOf(headers, "transfer-encoding");
    if (lengths.length + codings.length > 1) {
        return undefined;
    }
    if (codings.length === 1) {
        return codings[0] === "chunked" ? readChunks(text) : undefined;
    }
    const [length = "0"] = lengths;
    return /^\d+$/.test(length) && text.length >= Number(length)
        ? { text: text.slice(0, Number(length)), rest: text.slice(Number(length)) }
        : undefined;
};

const readChunks = (text: string): { readonly text: string; readonly rest: string; } | undefined => {
    let body = "";
    let rest = text;
    for (;;) {
        const match = /^([0-9a-fA-F]+)\r\n/.exec(rest);
        if (match === null) {
            return undefined;
        }
        const size = parseInt(match[1] ?? "", 16);
        rest = rest.slice(match[0].length);
        if (rest.slice(size, size + 2) !== "\r\n") {
            return undefined;
        }
        body += rest.slice(0, size);
        rest = rest.slice(size + 2);
        if (size === 0) {
            return { text: body, rest };
        }
    }
};
