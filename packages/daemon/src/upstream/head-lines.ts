/**
 * The line ends of response heads.
 *
 * @packageDocumentation
 */

import type { Socket } from "node:net";
import { UnusableResponseError } from "./attempt-errors.js";

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** Start of the status line of an informational response, behind the protocol's version. */
const informationalStatus = /^HTTP\/\d\.\d 1/;

/** Length of the text that this pattern needs. */
const statusLineStart = 10;

/**
 * Checks that each carriage return in the heads of a response is followed by a line feed. Node's parser takes any byte behind the
 * last one for the end of the head, so that a head that breaks off there and whatever follows it would be read as a response.
 */
export class HeadLines {
    private line = "";
    private lineLength = 0;
    private isInformational = false;
    private isFirstLine = true;
    private isAfterReturn = false;
    private isComplete = false;

    /**
     * Checks the next bytes of a connection.
     *
     * @param chunk - The bytes.
     * @returns Whether all heads are valid so far; bytes behind the last head are not checked.
     */
    accept(chunk: Buffer): boolean {
        for (let index = 0; index < chunk.length && !this.isComplete; index += 1) {
            const byte = chunk[index];
            if (byte !== lineFeed && this.isAfterReturn) {
                return false;
            }
            this.isAfterReturn = byte === carriageReturn;
            if (byte === lineFeed) {
                this.endLine();
            }
            else if (byte !== undefined && byte !== carriageReturn) {
                this.addToLine(byte);
            }
        }
        return true;
    }

    private addToLine(byte: number): void {
        this.lineLength += 1;
        if (this.isFirstLine && this.lineLength <= statusLineStart) {
            this.line += String.fromCharCode(byte);
        }
    }

    private endLine(): void {
        if (this.isFirstLine && this.lineLength > 0) {
            this.isFirstLine = false;
            this.isInformational = informationalStatus.test(this.line);
        }
        else if (!this.isFirstLine && this.lineLength === 0) {
            this.isComplete = !this.isInformational;
            this.isFirstLine = true;
            this.line = "";
        }
        this.lineLength = 0;
    }
}

/**
 * Checks the heads of the response to a request, before the parser reads them.
 *
 * @param socket - The connection, on which the request begins.
 * @param onInvalid - Called if a head is not valid.
 * @returns Ends the check.
 */
export const watchHead = (socket: Socket, onInvalid: (error: UnusableResponseError) => void): () => void => {
    const lines = new HeadLines();
    const check = (chunk: Buffer): void => {
        if (!lines.accept(chunk)) {
            onInvalid(new UnusableResponseError("a line of the head does not end with a carriage return and a line feed"));
        }
    };
    socket.prependListener("data", check);
    return () => socket.off("data", check);
};
