/**
 * Structured log of numbered events.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import { type Clock, SystemClock } from "@harrierhitch/core";
import { type DestinationStream, type Logger, pino } from "pino";
import { type EventKind, events } from "./event.js";
import type { Metrics } from "./metrics.js";

/** Fields of one event. Errors go under `error`. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Options of {@link EventLog}. */
export interface EventLogOptions {
    /** Lowest level that is written. */
    readonly level: string;
    /** Fields of every event, for example the instance's ID. */
    readonly base?: EventFields;
    /** Maximum number of lines per second; warnings and errors may use twice as many. */
    readonly linesPerSecond?: number;
    readonly clock?: Clock;
    /** Destination of the lines; by default standard output, written asynchronously. */
    readonly destination?: DestinationStream;
    /** Called with the number of dropped lines. */
    readonly onDropped?: (lines: number) => void;
}

const defaultLinesPerSecond = 200;

/** Window in which lines are counted, in milliseconds. */
const windowMs = 1000;

/** Maximum size of the output buffer, in bytes; lines beyond it are dropped if standard output is not read. */
const maximumBufferBytes = 1_048_576;

/** Bytes that are buffered before a write, to reduce system calls. */
const bufferedBytes = 4096;

/** Longest time for which lines are buffered, in milliseconds; a killed process loses them. */
const flushIntervalMs = 500;

type StandardOutput = ReturnType<typeof pino.destination>;

/** Writes events as JSON, one object per line. Never blocks; lines beyond the limits are dropped. */
export class EventLog {
    private readonly logger: Logger;
    private readonly output: StandardOutput | undefined;
    private readonly clock: Clock;
    private readonly linesPerSecond: number;
    private windowStartMs = -Infinity;
    private lines = 0;
    private dropped = 0;

    /** @param options - Level, limits and destination. */
    constructor(private readonly options: EventLogOptions) {
        this.clock = options.clock ?? new SystemClock();
        this.linesPerSecond = options.linesPerSecond ?? defaultLinesPerSecond;
        const { level, base = {} } = options;
        const settings = { level, base, serializers: { error: pino.stdSerializers.err } };
        this.output = options.destination === undefined ? this.openStandardOutput() : undefined;
        this.logger = pino(settings, options.destination ?? this.output);
    }

    /** Writes an event unless the rate limit is reached. */
    write(kind: EventKind, fields: EventFields = {}): void {
        if (!this.logger.isLevelEnabled(kind.level)) {
            return;
        }
        this.advanceWindow();
        const isUrgent = kind.level === "warn" || kind.level === "error";
        this.lines += 1;
        if (this.lines > this.linesPerSecond * (isUrgent ? 2 : 1)) {
            this.drop(1);
            return;
        }
        this.logger[kind.level]({ event: kind.number, ...fields }, kind.message);
    }

    /** Writes the buffered lines to standard output; does not resolve while nobody reads it. */
    flush(): Promise<void> {
        const { output } = this;
        return output === undefined ? Promise.resolve() : new Promise(resolve => output.flush(() => resolve()));
    }

    private advanceWindow(): void {
        const nowMs = this.clock.nowMs();
        if (nowMs - this.windowStartMs < windowMs) {
            return;
        }
        this.windowStartMs = nowMs;
        this.lines = 0;
        if (this.dropped > 0) {
            const { dropped } = this;
            this.dropped = 0;
            this.write(events.linesDropped, { lines: dropped });
        }
    }

    private drop(lines: number): void {
        this.dropped += lines;
        this.options.onDropped?.(lines);
    }

    private openStandardOutput(): StandardOutput {
        const output = pino.destination({
            dest: 1,
            sync: false,
            maxLength: maximumBufferBytes,
            minLength: bufferedBytes,
            periodicFlush: flushIntervalMs,
        });
        output.on("drop", () => this.drop(1));
        return output;
    }
}

/**
 * Opens the log of a daemon.
 *
 * @param settings - The daemon's settings.
 * @param clock - Clock for the rate limit.
 * @param metrics - Counts dropped lines.
 */
export const openLog = ({ instance, log }: Settings, clock: Clock, metrics: Metrics): EventLog =>
    new EventLog({
        level: log.level,
        base: { instance: instance.id },
        linesPerSecond: log.linesPerSecond,
        clock,
        onDropped: lines => metrics.linesDropped.inc(lines),
    });
