/**
 * Views: the instance list as keepers of keyed requests are found by it.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { checkInstanceList, type InstanceList, type ListedInstance } from "@harrierhitch/configuration";
import { type Document, DocumentSchema } from "@harrierhitch/protocol";
import { createHash } from "node:crypto";
import { rendezvous } from "./rendezvous.js";

/** An entry instance as the list names it. */
export interface ListedEntry extends ListedInstance {
    readonly id: string;
}

/** Keepers of one key. */
const keepersPerKey = 3;

/** One instance list. Views are ordered by revision, then by hash, so that any two are told apart alike everywhere. */
export class View {
    /** Entry instances that are not leaving. */
    readonly entries: readonly ListedEntry[];

    private constructor(readonly text: string, readonly hash: string, readonly list: InstanceList) {
        this.entries = [...list.instances]
            .filter(([, listed]) => listed.role === "entry" && listed.state === "live")
            .map(([id, listed]) => ({ id, ...listed }));
    }

    /** Reads a view; `undefined` when the text does not pass the checks. */
    static read(text: string): View | undefined {
        const checked = checkInstanceList("instances", text);
        return checked.value === undefined ? undefined : new View(text, hashOf(text), checked.value);
    }

    /** Whether this view is newer than another. */
    isNewerThan(other: View | undefined): boolean {
        return other === undefined
            || this.list.revision > other.list.revision
            || this.list.revision === other.list.revision && this.hash > other.hash;
    }

    /** The keepers of a key. */
    keepersOf(key: string): readonly ListedEntry[] {
        return rendezvous(key, this.entries, entry => entry.id).slice(0, keepersPerKey);
    }

    /** The view's place in the order, without its text: enough for an instance that is at the same view. */
    toReference(): Document {
        return create(DocumentSchema, { version: { number: BigInt(this.list.revision), hash: this.hash } });
    }

    /** The view as a message. */
    toDocument(): Document {
        return create(DocumentSchema, { version: { number: BigInt(this.list.revision), hash: this.hash }, text: this.text });
    }
}

/** Votes that decide among some keepers. */
export const majorityOf = (keepers: readonly unknown[]): number => Math.floor(keepers.length / 2) + 1;

/** SHA-256 of a document's text, in hexadecimal. */
export const hashOf = (text: string): string => createHash("sha256").update(text).digest("hex");
