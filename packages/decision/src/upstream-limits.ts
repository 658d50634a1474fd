/**
 * How many requests a second upstreams say that they take from all instances together.
 *
 * Only some instances send to an upstream, and hear what it says; all have to know. So each word has a place in an order that no
 * way of a message changes, and the latest word wins wherever it is heard: any order and any number of deliveries ends in the same
 * state.
 *
 * @packageDocumentation
 */

import type { Clock, UpstreamId } from "@harrierhitch/core";
import { ByStart, type UpstreamIncarnation } from "./incarnation-map.js";

/** One word of an upstream on how much it takes. */
export interface LimitNotice {
    /** Requests a second from all instances together; `undefined` once it names no limit any more. */
    readonly perSecond: number | undefined;
    /** When this limit was first named, in milliseconds since the Unix epoch. */
    readonly sinceUnixMs: number;
    /** Its place in the order: later than every word that the instance which heard it knew, and its time of day at least. */
    readonly saidAtUnixMs: number;
    /** Id of the instance that heard it from the upstream. */
    readonly heardBy: string;
}

/** A word with the start that gave it. */
export interface UpstreamLimitNotice {
    readonly upstream: UpstreamId;
    /** When the start began, in milliseconds since the Unix epoch; 0 when it is not known. */
    readonly startedAtMs: number;
    readonly notice: LimitNotice;
}

/** A limit as this instance knows it. */
export interface StoredLimit extends LimitNotice {
    /** When it was last heard of, on this instance's clock. */
    readonly receivedAtMs: number;
}

/** A limit that came, changed or went. */
export interface LimitChange extends UpstreamLimitNotice {
    /** The limit before; `undefined` where there was none. */
    readonly before: number | undefined;
}

/** Options of {@link UpstreamLimits}. */
export interface UpstreamLimitsOptions {
    readonly clock: Clock;
    /** Id of this instance. */
    readonly instance: string;
    /** Told of each change, whoever heard it. */
    readonly onChange?: (change: LimitChange) => void;
}

interface Recent {
    readonly told: UpstreamLimitNotice;
    readonly takenAtMs: number;
    /** Whether it changed a limit, and does not only confirm it. */
    readonly isChange: boolean;
}

/** Time for which a word is passed on, in milliseconds: longer than any exchange takes to reach everyone. */
const passOnMs = 10_000;

/** The same in exchanges that are to be brief. */
const passOnBrieflyMs = 3000;

/** Most words in one exchange, which bounds their bytes; the latest go first. */
const maximumTold = 64;

/** Time after which a limit that still holds is told again, in milliseconds, so that others know that someone hears of it. */
const confirmMs = 8000;

/** Change of a limit, as a share, that others need not hear of before the next exchange. */
const slightChange = 0.1;

/** Keeps what upstreams said last. */
export class UpstreamLimits {
    private readonly limits: ByStart<StoredLimit>;
    private readonly recent = new Map<UpstreamId, Recent>();

    /** @param options - Clock, this instance and listener. */
    constructor(private readonly options: UpstreamLimitsOptions) {
        // A limit whose start is not named ends by an answer without it, never by time: all would return at one moment.
        this.limits = new ByStart({ clock: options.clock, lastsUntilMs: () => Infinity });
    }

    /** Whether no upstream has ever said anything of it. */
    get isEmpty(): boolean {
        return this.limits.isEmpty;
    }

    /** The limit that binds a start; `undefined` where it has named none, or names none any more. */
    find(start: UpstreamIncarnation): StoredLimit & { readonly perSecond: number; } | undefined {
        const known = this.limits.find(start);
        return known?.perSecond === undefined ? undefined : { ...known, perSecond: known.perSecond };
    }

    /**
     * Takes in what an answer of an upstream says. An answer to a request from before its limit was last heard of may be older
     * than that: it lowers the limit only.
     *
     * @param start - The start that answered.
     * @param perSecond - The limit that it named; `undefined` where it named none.
     * @param sentAtMs - When the request was sent, on this instance's clock.
     * @returns Whether others should hear of it at once.
     */
    record(start: UpstreamIncarnation, perSecond: number | undefined, sentAtMs: number): boolean {
        const { clock, instance } = this.options;
        const known = this.limits.find(start);
        const before = known?.perSecond;
        const saidAtUnixMs = Math.max(Math.floor(clock.wallMs()), (known?.saidAtUnixMs ?? 0) + 1);
        if (perSecond === before) {
            return known !== undefined && before !== undefined && this.confirm(start, known, saidAtUnixMs);
        }
        const isLower = perSecond !== undefined && perSecond < (before ?? Infinity);
        const isStale = known !== undefined && sentAtMs < known.receivedAtMs;
        return (isLower || !isStale)
            && this.take(start, { perSecond, sinceUnixMs: saidAtUnixMs, saidAtUnixMs, heardBy: instance });
    }

    /**
     * Takes in what other instances heard.
     *
     * @param words - What they heard.
     * @returns Whether others should hear of any of it at once.
     */
    merge(words: readonly UpstreamLimitNotice[]): boolean {
        return words.map(({ upstream, startedAtMs, notice: word }) => {
            const start = { id: upstream, startedAtMs };
            const known = this.limits.find(start);
            return (known === undefined || isLater(word, known)) && this.take(start, word);
        }).includes(true);
    }

    /**
     * What others should hear.
     *
     * @param isBrief - Whether to leave out what is not just new.
     */
    recentEntries(isBrief: boolean): readonly UpstreamLimitNotice[] {
        const nowMs = this.options.clock.nowMs();
        [...this.recent].filter(([, { takenAtMs }]) => nowMs - takenAtMs >= passOnMs).forEach(([id]) => this.recent.delete(id));
        return [...this.recent.values()]
            .filter(({ takenAtMs, isChange }) => !isBrief || isChange && nowMs - takenAtMs < passOnBrieflyMs)
            .sort((a, b) => b.takenAtMs - a.takenAtMs)
            .slice(0, maximumTold)
            .map(({ told }) => told);
    }

    /** Notes that a limit still holds, and tells the others now and then. */
    private confirm(start: UpstreamIncarnation, known: StoredLimit, saidAtUnixMs: number): boolean {
        const { clock, instance } = this.options;
        if (saidAtUnixMs - known.saidAtUnixMs >= confirmMs) {
            return this.take(start, { ...known, saidAtUnixMs, heardBy: instance });
        }
        this.limits.put(start, known.saidAtUnixMs, () => ({ ...known, receivedAtMs: clock.nowMs() }));
        return false;
    }

    private take(start: UpstreamIncarnation, word: LimitNotice): boolean {
        const { clock, onChange } = this.options;
        const { perSecond, sinceUnixMs, saidAtUnixMs, heardBy } = word;
        const { id: upstream, startedAtMs = 0 } = start;
        const before = this.limits.find(start)?.perSecond;
        const takenAtMs = clock.nowMs();
        const told = { upstream, startedAtMs, notice: { perSecond, sinceUnixMs, saidAtUnixMs, heardBy } };
        const isChange = perSecond !== before;
        this.limits.put(start, saidAtUnixMs, () => ({ ...told.notice, receivedAtMs: takenAtMs }));
        this.recent.set(upstream, { told, takenAtMs, isChange });
        if (isChange) {
            onChange?.({ ...told, before });
        }
        return isChange && !isSlight(before, perSecond);
    }
}

const isLater = (word: LimitNotice, known: LimitNotice): boolean =>
    word.saidAtUnixMs > known.saidAtUnixMs || word.saidAtUnixMs === known.saidAtUnixMs && word.heardBy > known.heardBy;

const isSlight = (before: number | undefined, after: number | undefined): boolean =>
    before !== undefined && after !== undefined && Math.abs(after - before) <= before * slightChange;
