/**
 * Texts as compressed edits of an earlier text.
 *
 * @packageDocumentation
 */

import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { maximumDocumentBytes } from "@harrierhitch/configuration";
import { asError, HarrierhitchError } from "@harrierhitch/core";
import { DocumentEditsSchema } from "@harrierhitch/protocol";
import { deflateRawSync, inflateRawSync } from "node:zlib";

/** Edits cannot be decoded, or do not fit the text that they apply to. */
export class DocumentEditsError extends HarrierhitchError {
    readonly code = "document-edits";
}

interface Edit {
    readonly start: number;
    readonly length: number;
    readonly insert: string;
}

/** A piece of a text: up to the end of a line or of an object, since changes rarely concern more. */
const piecePattern = /[^}\n]*[}\n]|[^}\n]+$/g;

/** Level at which compression takes the least processor time. */
const compressionLevel = 1;

/** Most bytes of edits: a document and the ranges around each of its pieces. */
const maximumEditsBytes = 4 * maximumDocumentBytes;

/**
 * Encodes a text as edits of another one.
 *
 * @param base - The text that the receiver has; empty for none.
 * @param text - The text to encode.
 */
export const encodeEdits = (base: string, text: string): Uint8Array =>
    deflateRawSync(toBinary(DocumentEditsSchema, create(DocumentEditsSchema, { edits: editsOf(base, text) })), {
        level: compressionLevel,
    });

/**
 * Restores a text from edits.
 *
 * @param base - The text that the edits apply to.
 * @param edits - The edits.
 * @throws {@link DocumentEditsError} if the edits cannot be decoded, do not fit the base, or result in more than a document may have.
 */
export const applyEdits = (base: string, edits: Uint8Array): string => {
    const decoded = decode(edits);
    // Few bytes of edits may refer to the same range any number of times.
    const restoredLength = decoded.reduce((sum, { length, insert }) => sum + length + insert.length, 0);
    if (restoredLength > maximumDocumentBytes) {
        throw new DocumentEditsError(
            `the edits result in ${restoredLength} characters; a document has ${maximumDocumentBytes} bytes at most`,
        );
    }
    return decoded.map(({ start, length, insert }) => {
        if (start + length > base.length) {
            throw new DocumentEditsError(`an edit refers to ${start + length} characters of a text with ${base.length}`);
        }
        return base.slice(start, start + length) + insert;
    }).join("");
};

const decode = (edits: Uint8Array): readonly Edit[] => {
    try {
        return fromBinary(DocumentEditsSchema, inflateRawSync(edits, { maxOutputLength: maximumEditsBytes })).edits;
    }
    catch (thrown) {
        throw new DocumentEditsError(`the edits cannot be decoded: ${asError(thrown).message}`, { cause: thrown });
    }
};

/** Returns the ranges of the base and the new pieces that make up a text. */
const editsOf = (base: string, text: string): Edit[] => {
    const startOf = pieceStarts(base);
    const edits: { start: number; length: number; insert: string; }[] = [];
    let last = { start: 0, length: 0, insert: "" };
    const begin = (start: number, length: number): void => {
        last = { start, length, insert: "" };
        edits.push(last);
    };
    (text.match(piecePattern) ?? []).forEach(piece => {
        const end = last.start + last.length;
        if (edits.length > 0 && last.insert === "" && base.startsWith(piece, end)) {
            last.length += piece.length;
            return;
        }
        const start = startOf.get(piece);
        if (start !== undefined) {
            begin(start, piece.length);
        }
        else if (edits.length === 0) {
            begin(0, 0);
            last.insert = piece;
        }
        else {
            last.insert += piece;
        }
    });
    return edits;
};

/** Returns where each piece of a text first starts. */
const pieceStarts = (text: string): ReadonlyMap<string, number> => {
    const starts = new Map<string, number>();
    let start = 0;
    (text.match(piecePattern) ?? []).forEach(piece => {
        if (!starts.has(piece)) {
            starts.set(piece, start);
        }
        start += piece.length;
    });
    return starts;
};
