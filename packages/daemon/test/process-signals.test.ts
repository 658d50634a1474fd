/**
 * Guards against signals that have their default action, which ends the process: before the daemon has started, or a second one.
 */

import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import { ProcessSignals } from "../src/process-signals.js";

/** Emits signals; returns the actions that are performed, and a function that attaches them. */
const start = () => {
    const source = new EventEmitter();
    const signals = new ProcessSignals(source);
    const performed: string[] = [];
    const attach = (): void => signals.attach({ stop: () => performed.push("stop"), reload: () => performed.push("reload") });
    /** Returns whether a signal has a listener, so that it does not end the process. */
    const emit = (name: NodeJS.Signals): boolean => source.emit(name);
    return { performed, attach, emit };
};

test("signals that arrive before the daemon exists are handled once it does", () => {
    const { performed, attach, emit } = start();
    const areHandled = [emit("SIGHUP"), emit("SIGTERM"), emit("SIGINT")];
    assert.deepEqual([areHandled, performed], [[true, true, true], []]);
    attach();
    assert.deepEqual(performed, ["reload", "stop"]);
});

test("each further signal is handled", () => {
    const { performed, attach, emit } = start();
    attach();
    const areHandled = [emit("SIGTERM"), emit("SIGTERM"), emit("SIGINT"), emit("SIGHUP"), emit("SIGINT")];
    assert.deepEqual([areHandled, performed], [[true, true, true, true, true], ["stop", "stop", "stop", "reload", "stop"]]);
});
