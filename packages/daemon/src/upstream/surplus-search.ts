/**
 * Finds a second response in a body that ends with its connection.
 *
 * @packageDocumentation
 */

const statusLine = /HTTP\/1\.[01] \d{3}/;

/** Length of what {@link statusLine} matches. */
const statusLineLength = "HTTP/1.1 200".length;

/** Longest head of a second response that is searched for an id, in bytes. */
const maximumHeadBytes = 32_768;

/**
 * Searches a body for the head of a response that repeats the id of a request on its connection. A body that only quotes responses has
 * other ids, so that it is passed on.
 */
export class SurplusSearch {
    /** What may be the beginning of such a head. */
    private rest = "";

    /** @param ids - The ids of the requests on the connection. */
    constructor(private readonly ids: readonly string[]) {}

    /**
     * Searches the next part of the body.
     *
     * @returns Whether a second response has begun.
     */
    add(chunk: Buffer): boolean {
        let text = this.rest + chunk.toString("latin1");
        for (let start = text.search(statusLine); start >= 0; start = text.search(statusLine)) {
            text = text.slice(start);
            const length = headLength(text);
            if (this.hasId(text.slice(0, length))) {
                return true;
            }
            if (length === text.length && length < maximumHeadBytes) {
                this.rest = text;
                return false;
            }
            text = text.slice(Math.min(length, statusLineLength));
        }
        this.rest = text.slice(1 - statusLineLength);
        return false;
    }

    /** Whether a complete header in a head has one of the ids as its value. */
    private hasId(head: string): boolean {
        return head.split("\r\n").slice(1, -1).some(line => this.ids.includes(line.slice(line.indexOf(":") + 1).trim()));
    }
}

/** Returns the length of the head at the beginning of a text, up to its empty line or the next status line. */
const headLength = (text: string): number => {
    const nextHead = text.slice(statusLineLength, maximumHeadBytes).search(statusLine);
    const limit = nextHead < 0 ? Math.min(text.length, maximumHeadBytes) : nextHead + statusLineLength;
    const endOfHead = text.slice(0, limit).indexOf("\r\n\r\n");
    return endOfHead < 0 ? limit : endOfHead + "\r\n".length;
};
