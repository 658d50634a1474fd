/**
 * What the fleet remembers of upstreams that ended under requests.
 *
 * Entries are facts that no clock orders: a run has ended with its upstream, or has and its request was answered since.
 * Any order and any number of deliveries ends in the same state, and each instance takes each fact as news once.
 *
 * @packageDocumentation
 */

import type { Clock, RequestKey } from "@harrierhitch/core";
import type { CrashRecord } from "./crash-record.js";
import { detectPoisonRequests } from "./poison-detection.js";
import { isTrialDue } from "./quarantine-trial.js";
import { agreeingSets, matches, pathPartOf, type RequestSignature, signatureOf, traitSets } from "./request-attributes.js";
import { AnsweredKeys } from "./succeeded-keys.js";

/** Options of {@link CrashHistory}. */
export interface CrashHistoryOptions {
    readonly clock: Clock;
    /** Told of requests that are withheld from now on, with the runs that settled it. */
    readonly onQuarantined?: (pattern: RequestSignature, runs: readonly CrashRecord[]) => void;
    /** Told of requests that are no longer withheld. */
    readonly onReleased?: (pattern: RequestSignature) => void;
}

interface Entry {
    readonly run: CrashRecord;
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
export class CrashHistory {
    private readonly entries = new Map<string, Entry>();
    private readonly answered = new AnsweredKeys();
    private verdicts: ReadonlyMap<RequestSignature, readonly CrashRecord[]> = new Map();
    /** What was ever withheld, here or by another instance, as long as runs of it are remembered. */
    private agreed: ReadonlySet<RequestSignature> = new Set();
    /** Requests that lost an upstream and were not answered since. */
    private suspects: ReadonlySet<RequestKey> = new Set();
    /** Method, host and path of the runs that are remembered. */
    private suspectPaths: ReadonlySet<string> = new Set();
    /** When the oldest entry is to be looked at again. */
    private staleAtMs = Infinity;

    /** @param options - The clock, and who is told of verdicts. */
    constructor(private readonly options: CrashHistoryOptions) {}

    /** Runs that are remembered. */
    get size(): number {
        return this.entries.size;
    }

    /** What is withheld: what the requests have in common. */
    get quarantined(): readonly RequestSignature[] {
        this.forgetOld();
        return [...this.verdicts.keys()];
    }

    /** Whether a request is not to be sent, because upstreams end under it. */
    isQuarantined(key: RequestKey): boolean {
        return this.matchingQuarantines(key).length > 0;
    }

    /** What a request is withheld for. */
    matchingQuarantines(key: RequestKey): readonly RequestSignature[] {
        this.forgetOld();
        return this.verdicts.size === 0
            ? []
            : [...new Set(traitSets.map(set => signatureOf(key, set)))].filter(pattern => this.verdicts.has(pattern));
    }

    /**
     * Whether what is withheld may be tried once by one instance: some time has passed, and nobody has tried it.
     *
     * @param pattern - What is withheld.
     */
    isTrialDue(pattern: RequestSignature): boolean {
        const own = this.runs.filter(({ key }) => matches(key, pattern));
        return isTrialDue(this.verdicts.get(pattern) ?? [], own, this.options.clock.nowMs());
    }

    /** Whether an upstream has ended under a request that was not answered since. */
    isSuspect(key: RequestKey): boolean {
        this.forgetOld();
        return this.suspects.has(key);
    }

    /**
     * Takes in runs, this instance's or others'.
     *
     * @param runs - The runs.
     * @param withheld - What whoever told of the runs withholds.
     * @returns Whether anything was new.
     */
    merge(runs: readonly CrashRecord[], withheld: readonly RequestSignature[] = []): boolean {
        this.forgetOld();
        const news = runs.filter(run => this.put(run));
        const agreed = withheld.filter(pattern =>
            !this.agreed.has(pattern) && this.runs.some(({ key }) => matches(key, pattern))
        );
        if (news.length > 0 || agreed.length > 0) {
            this.agreed = new Set([...this.agreed, ...agreed]);
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
    recordSuccess(key: RequestKey): boolean {
        this.answered.note(key);
        const path = pathPartOf(key);
        if (!this.suspectPaths.has(path)) {
            return false;
        }
        const alike = this.runs.filter(run => pathPartOf(run.key) === path);
        return this.merge(alike.map(run => ({
            ...run,
            hasSucceeded: run.hasSucceeded || run.key === key,
            succeededMasks: run.succeededMasks | agreeingSets(run.key, key),
        })));
    }

    /**
     * The runs to tell another instance: what is new, and what it lacks to withhold the same requests.
     *
     * @param withheld - What it withholds.
     * @param isBrief - Whether to leave out what is only new.
     */
    recentEntries(withheld: readonly RequestSignature[], isBrief: boolean): readonly CrashRecord[] {
        const nowMs = this.options.clock.nowMs();
        const settling = this.missingQuarantines(withheld).flatMap(pattern => this.verdicts.get(pattern) ?? []);
        const isNew = ({ learnedAtMs }: Entry): boolean => nowMs - learnedAtMs < passOnMs;
        const news = isBrief ? [] : [...this.entries.values()].filter(isNew).map(({ run }) => run).reverse();
        return [...new Set([...settling, ...news])].slice(0, maximumTold);
    }

    /** What is withheld here, and not by another instance that withholds what is given. */
    missingQuarantines(withheld: readonly RequestSignature[]): readonly RequestSignature[] {
        return this.quarantined.filter(pattern => !withheld.includes(pattern));
    }

    private get runs(): readonly CrashRecord[] {
        return [...this.entries.values()].map(({ run }) => run);
    }

    private put(run: CrashRecord): boolean {
        const known = this.entries.get(run.id);
        const ageMs = this.options.clock.nowMs() - run.endedAtMs;
        if (known === undefined && ageMs > withholdMs - forgottenMarginMs) {
            return false;
        }
        // What is answered later is noted in the runs that are known: only a new one is compared with all that was answered.
        const before = known?.run ?? { ...run, succeededMasks: run.succeededMasks | this.answered.agreeingWith(run.key) };
        const kept = {
            ...before,
            hasSucceeded: before.hasSucceeded || run.hasSucceeded,
            succeededMasks: before.succeededMasks | run.succeededMasks,
        };
        if (known !== undefined && kept.hasSucceeded === before.hasSucceeded && kept.succeededMasks === before.succeededMasks) {
            return false;
        }
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
        const order = this.runs
            .map(({ id, key, endedAtUnixMs }) => ({ id, isSettling: this.isSettling(key), endedAtUnixMs }))
            .sort((a, b) => Number(a.isSettling) - Number(b.isSettling) || a.endedAtUnixMs - b.endedAtUnixMs);
        order.slice(0, surplus).forEach(({ id }) => this.entries.delete(id));
    }

    private judge(): void {
        const before = this.verdicts;
        const { runs } = this;
        this.verdicts = detectPoisonRequests(runs, this.agreed);
        this.agreed = new Set(
            [...this.agreed, ...this.verdicts.keys()].filter(pattern => runs.some(({ key }) => matches(key, pattern))),
        );
        this.suspects = new Set(runs.filter(run => !run.hasSucceeded).map(run => run.key));
        this.suspectPaths = new Set(runs.map(run => pathPartOf(run.key)));
        this.staleAtMs = Math.min(...runs.map(run => this.forgetAtMs(run)));
        this.verdicts.forEach((settling, pattern) =>
            before.has(pattern) ? undefined : this.options.onQuarantined?.(pattern, settling)
        );
        before.forEach((_, pattern) => this.verdicts.has(pattern) ? undefined : this.options.onReleased?.(pattern));
    }

    private forgetAtMs({ key, endedAtMs }: CrashRecord): number {
        return endedAtMs + (this.isSettling(key) ? withholdMs : suspectMs);
    }

    private isSettling(key: RequestKey): boolean {
        return [...this.verdicts.keys()].some(pattern => matches(key, pattern));
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
