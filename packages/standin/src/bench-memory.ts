/**
 * Measures the memory of decision records, for the benchmark.
 *
 * @packageDocumentation
 */

import { SeededRandom } from "@harrierhitch/core";
import { decide } from "@harrierhitch/decision";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { benchInput, benchPolicy } from "./bench-decision-time.js";

const recordCount = 3000;

/** Writes the heap size of one decision with its input, by the number of candidates. */
export const reportRecordMemory = (write: (text: string) => void): void => {
    setFlagsFromString("--expose-gc");
    const collect = runInNewContext("gc") as () => void;
    const policy = benchPolicy("adaptive", "");
    const random = new SeededRandom(1);
    const sizes = [0, 10, 20, 40].map(candidates => {
        collect();
        const before = process.memoryUsage().heapUsed;
        const retained = Array.from({ length: recordCount }, () => {
            const input = benchInput(candidates, random);
            return { atMs: random.next(), tookMs: random.next(), input, decision: decide(policy, input) };
        });
        collect();
        const bytes = (process.memoryUsage().heapUsed - before) / retained.length;
        return { candidates, bytes };
    });
    write(
        `Heap of a recorded decision (bytes): ${
            sizes.map(({ candidates, bytes }) => `${candidates} candidates ${bytes.toFixed(0)}`).join(", ")
        }`,
    );
};
