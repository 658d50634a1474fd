/** What was sent, answered and run, with the time since the start. */

import { writeFileSync } from "node:fs";

export class Record {
    #startMs = performance.now();
    #lines = [];

    /** @param file - Where the record is written. */
    constructor(file) {
        this.file = file;
    }

    add(text) {
        this.#lines.push(`${(performance.now() - this.#startMs).toFixed(1).padStart(9)} ms  ${text}`);
    }

    write() {
        writeFileSync(this.file, `${this.#lines.join("\n")}\n`);
    }
}
