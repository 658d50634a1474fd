/** Reads HTTP/1.1 requests from a stream of bytes: bodies with a length or in chunks. */

const headPattern = /^([A-Z]+) (\S+) HTTP\/1\.1$/;

export class RequestReader {
    rest = Buffer.alloc(0);
    #failed = false;

    /** @param onRequest - Called with each complete request. */
    constructor(onRequest) {
        this.onRequest = onRequest;
    }

    /** Adds bytes; returns whether all complete requests so far were valid. */
    push(chunk) {
        this.rest = Buffer.concat([this.rest, chunk]);
        while (!this.#failed && this.#readOne()) {
            // Reads the next one.
        }
        return !this.#failed;
    }

    #readOne() {
        const headEnd = this.rest.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            this.#failed = this.rest.length > 65_536;
            return false;
        }
        const [requestLine, ...lines] = this.rest.subarray(0, headEnd).toString("latin1").split("\r\n");
        const match = headPattern.exec(requestLine);
        if (match === null) {
            this.#failed = true;
            return false;
        }
        const headers = Object.fromEntries(lines.map(line => {
            const colon = line.indexOf(":");
            return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
        }));
        const body = this.#readBody(headEnd + 4, headers);
        if (body === undefined) {
            return false;
        }
        this.rest = this.rest.subarray(body.end);
        this.onRequest({ method: match[1], path: match[2], headers, body: body.bytes });
        return true;
    }

    #readBody(start, headers) {
        if (headers["transfer-encoding"] !== "chunked") {
            const end = start + Number(headers["content-length"] ?? 0);
            return end > this.rest.length ? undefined : { bytes: this.rest.subarray(start, end), end };
        }
        const parts = [];
        for (let at = start;;) {
            const lineEnd = this.rest.indexOf("\r\n", at);
            const size = lineEnd < 0 ? NaN : parseInt(this.rest.subarray(at, lineEnd).toString("latin1"), 16);
            const end = lineEnd + 2 + size + 2;
            if (!(end <= this.rest.length)) {
                return undefined;
            }
            if (size === 0) {
                return { bytes: Buffer.concat(parts), end };
            }
            parts.push(this.rest.subarray(lineEnd + 2, end - 2));
            at = end;
        }
    }
}
