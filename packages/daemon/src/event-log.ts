/**
 * The log of numbered events.
 *
 * @packageDocumentation
 */

import { type Logger, pino } from "pino";
import type { EventKind } from "./event.js";

/** Fields of one event. Errors go under `error`. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Writes events to standard output, one JSON object a line. */
export class EventLog {
    private readonly logger: Logger;

    /**
     * @param level - Lowest level that is written.
     * @param base - Fields of every event, for example the instance.
     */
    constructor(level: string, base: EventFields) {
        this.logger = pino({ level, base, serializers: { error: pino.stdSerializers.err } });
    }

    /** Writes one event. */
    write(kind: EventKind, fields: EventFields = {}): void {
        this.logger[kind.level]({ event: kind.number, ...fields }, kind.message);
    }
}
