/**
 * What the fleet remembers of upstreams that ended under requests.
 *
 * Entries are facts that no clock orders: a run has ended with its upstream, or has and its request was answered since.
 * Any order and any number of deliveries ends in the same state, and each instance takes each fact as news once.
 *
 * @packageDocumentation
 */

import type { Clock, RequestKey } from "@harrierhitch/core";
import { withheldRequests } from "./crash-verdict.js";
import type { EndedRun } from "./ended-run.js";

/** Options of {@link CrashLedger}. */
export interface CrashLedgerOptions {
    readonly clock: Clock;
    /** Told of a request that is withheld from now on, with the runs that settled it. */
    readonly onWithheld?: (key: RequestKey, runs: readonly EndedRun[]) => void;
}

interface Entry {
    readonly run: EndedRun;
    /** When this instance learned what it says now. */
    readonly learnedAtMs: number;
}

/** Time for which a change is passed on with every exchange: longer than any takes to reach everyone. */
const passOnMs = 10_000;

/** Time for which a run counts against a request that is not withheld: longer than callers wait before they come again. */
const suspectMs = 600_000;

/** Time for which a request is withheld: an upstream that was mended gets it again within the hour. */
const withholdMs = 3_600_000;

/** A run this much younger than the time it is kept for is taken in, so that none that was forgotten comes back from others. */
const forgottenMarginMs = 30_000;

/** Most runs that are kept: 100 bytes each, and ten requests under way at each of 50 upstreams that end. */
const maximumRuns = 512;

/** Most runs in one message, which bounds its bytes; those that settled something go first. */
const maximumTold = 64;

/** Remembers runs that ended with their upstreams, and tells which requests are withheld for them. */
export class CrashLedger {
    private readonly entries = new Map<string, Entry>();
    private withheld: ReadonlyMap<RequestKey, readonly EndedRun[]> = new Map();
    /** Requests that lost an upstream and were not answered since. */
    private suspects: ReadonlySet<RequestKey> = new Set();
    /** When the oldest entry is to be looked at again. */
    private staleAtMs = Infinity;

    /** @param options - The clock, and who is told of verdicts. */
    constructor(private readonly options: CrashLedgerOptions) {}

    /** Runs that are remembered. */
    get size(): number {
        return this.entries.size;
    }

    /** Requests that are withheld. */
    get withheldCount(): number {
        this.forgetOld();
        return this.withheld.size;
    }

    /** The same on two instances that withhold the same requests, and most likely not otherwise; empty where none is. */
    get digest(): string {
        this.forgetOld();
        const parts = [...this.withheld.keys()].reduce<readonly number[]>(
            (sum, key) => sum.map((part, index) => (part ^ Number.parseInt(key.slice(index * 8, index * 8 + 8), 16)) >>> 0),
            [0, 0],
        );
        return this.withheld.size === 0 ? "" : parts.map(part => part.toString(16).padStart(8, "0")).join("");
    }

    /** Whether a request is not to be sent, because upstreams end under it. */
    isWithheld(key: RequestKey): boolean {
        this.forgetOld();
        return this.withheld.has(key);
    }

    /** Whether an upstream has ended under a request that was not answered since. */
    isSuspect(key: RequestKey): boolean {
        this.forgetOld();
        return this.suspects.has(key);
    }

    /**
     * Takes in runs, this instance's or others'.
     *
     * @returns Whether anything was new.
     */
    merge(runs: readonly EndedRun[]): boolean {
        this.forgetOld();
        const news = runs.filter(run => this.put(run));
        if (news.length > 0) {
            this.keepWithinBound();
            this.judge();
        }
        return news.length > 0;
    }

    /**
     * Notes that an upstream answered a request, as it would not if it ended under it.
     *
     * @returns Whether that was new of any run.
     */
    noteAnswered(key: RequestKey): boolean {
        if (!this.isSuspect(key)) {
            return false;
        }
        const own = this.runs.filter(run => run.key === key);
        return this.merge(own.map(run => ({ ...run, isAnswered: true })));
    }

    /**
     * The runs to tell another instance: what is new, and what it lacks to withhold the same requests.
     *
     * @param digest - Its {@link digest}.
     * @param isBrief - Whether to leave out what is only new.
     */
    toTell(digest: string, isBrief: boolean): readonly EndedRun[] {
        const nowMs = this.options.clock.nowMs();
        const settling = digest === this.digest ? [] : [...this.withheld.values()].flat();
        const isNew = ({ learnedAtMs }: Entry): boolean => nowMs - learnedAtMs < passOnMs;
        const news = isBrief ? [] : [...this.entries.values()].filter(isNew).map(({ run }) => run).reverse();
        return [...new Set([...settling, ...news])].slice(0, maximumTold);
    }

    private get runs(): readonly EndedRun[] {
        return [...this.entries.values()].map(({ run }) => run);
    }

    private put(run: EndedRun): boolean {
        const known = this.entries.get(run.id);
        const ageMs = this.options.clock.nowMs() - run.endedAtMs;
        const isForgotten = known === undefined && ageMs > withholdMs - forgottenMarginMs;
        if (isForgotten || known !== undefined && (known.run.isAnswered || !run.isAnswered)) {
            return false;
        }
        // What is known of it stays: only that it was answered is new.
        const kept = known === undefined ? run : { ...known.run, isAnswered: true };
        this.entries.delete(run.id);
        this.entries.set(run.id, { run: kept, learnedAtMs: this.options.clock.nowMs() });
        return true;
    }

    /** Drops the oldest runs that settled nothing. */
    private keepWithinBound(): void {
        const surplus = this.entries.size - maximumRuns;
        if (surplus <= 0) {
            return;
        }
        const isSettling = (run: EndedRun): boolean => this.withheld.has(run.key);
        const order = [...this.runs].sort((a, b) =>
            Number(isSettling(a)) - Number(isSettling(b)) || a.endedAtUnixMs - b.endedAtUnixMs
        );
        order.slice(0, surplus).forEach(({ id }) => this.entries.delete(id));
    }

    private judge(): void {
        const before = this.withheld;
        const { runs } = this;
        this.withheld = withheldRequests(runs);
        this.suspects = new Set(runs.filter(run => !run.isAnswered).map(run => run.key));
        this.staleAtMs = Math.min(...runs.map(run => this.forgetAtMs(run)));
        this.withheld.forEach((runs, key) => before.has(key) ? undefined : this.options.onWithheld?.(key, runs));
    }

    private forgetAtMs(run: EndedRun): number {
        return run.endedAtMs + (this.withheld.has(run.key) ? withholdMs : suspectMs);
    }

    private forgetOld(): void {
        const nowMs = this.options.clock.nowMs();
        if (nowMs < this.staleAtMs) {
            return;
        }
        this.runs.filter(run => this.forgetAtMs(run) <= nowMs).forEach(({ id }) => this.entries.delete(id));
        this.judge();
    }
}
