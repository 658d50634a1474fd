/**
 * What a keeper can prove of keys that it has not seen.
 *
 * @packageDocumentation
 */

import type { Clock, InstanceId } from "@harrierhitch/core";
import { keyMadeAtUnixMs } from "./key-time.js";
import { type ListedEntry, majorityOf, type View } from "./view.js";

/**
 * What a run can vouch for.
 *
 * - `fresh`: keys since its start.
 * - `cold`: likewise, but nobody knew more when it started: the whole fleet had just started.
 * - `established`: all keys, because it has run long enough or was told what went before.
 */
export type Standing = "fresh" | "cold" | "established";

/** What a sync with another keeper brought. */
export interface SyncAnswer {
    readonly instance: string;
    /** What the answering run can itself vouch for. */
    readonly standing: Standing;
    /** Views that it voted under. */
    readonly views: readonly View[];
    /** Instances whose records it has, taken over under the view in force. */
    readonly answered: readonly string[];
    /** Instances whose records it has, taken over when they left. */
    readonly left: readonly string[];
}

/** Options of {@link KeyHistory}. */
export interface KeyHistoryOptions {
    readonly clock: Clock;
    readonly instance: InstanceId;
    /** Time for which keys are kept. */
    readonly keyTtlMs: () => number;
    /** Whether keys count as new when every instance of the list has just started. */
    readonly trustsColdStart: () => boolean;
}

interface PassedView {
    readonly view: View;
    /** Time until which the view matters. */
    readonly untilMs: number;
    /** Whether this run itself voted under it. */
    readonly own: boolean;
}

/** Difference between clocks of different machines that is allowed for. */
const clockSkewMs = 5000;

/**
 * Keeps which views there were and which keepers have handed over their records.
 *
 * A vote "never seen" under the view in force is sound only if every earlier
 * view that could still have granted the key has been closed: a majority of the
 * key's keepers in that view must have answered a sync under the newer view
 * (from then on they refuse the older one), have handed over on leaving, or be
 * absent from the list for as long as keys are kept. A run that has just
 * started has forgotten its own votes and must be told them by the others.
 */
export class KeyHistory {
    private readonly startedAtMs: number;
    private readonly startedAtUnixMs: number;
    private current: View | undefined;
    private adoptedAtMs = 0;
    private passed: readonly PassedView[] = [];
    /** Instances that answered a sync under the view in force. */
    private answered = new Set<string>();
    /** Instances that answered a sync since this run began, and their standing. */
    private readonly told = new Map<string, Standing>();
    private ownStanding: Standing = "fresh";
    /** Instances whose records arrived under the view in force, from themselves or through others. */
    private closing = new Set<string>();
    /** Instances that handed over on leaving. */
    private readonly left = new Set<string>();

    /** @param options - Clock and times. */
    constructor(private readonly options: KeyHistoryOptions) {
        this.startedAtMs = options.clock.nowMs();
        this.startedAtUnixMs = options.clock.wallMs();
    }

    /** The view in force. */
    get view(): View | undefined {
        return this.current;
    }

    /** Takes over a newer view; an older one changes nothing. */
    adopt(view: View): boolean {
        if (!view.isNewerThan(this.current)) {
            return false;
        }
        if (this.current !== undefined) {
            this.remember(this.current, true);
        }
        this.current = view;
        if (!view.list.instances.has(this.options.instance)) {
            this.ownStanding = "established";
        }
        this.adoptedAtMs = this.options.clock.nowMs();
        this.answered = new Set();
        this.closing = new Set();
        return true;
    }

    /** Takes in the answer of a sync under the view in force. */
    learn(answer: SyncAnswer): void {
        this.told.set(answer.instance, answer.standing);
        this.answered.add(answer.instance);
        if (answer.standing !== "fresh") {
            this.closing.add(answer.instance);
            answer.answered.forEach(id => this.closing.add(id));
            answer.left.forEach(id => this.left.add(id));
        }
        this.learnViews(answer.views);
    }

    /** Takes in views that others know. */
    learnViews(views: readonly View[]): void {
        views.filter(view => view.hash !== this.current?.hash).forEach(view => this.remember(view, false));
    }

    /** Notes that an instance handed over its records on leaving and votes no more. */
    close(instance: string): void {
        this.left.add(instance);
    }

    /** Instances whose records this keeper has under the view in force. */
    get closedUnderView(): readonly string[] {
        return [...this.closing];
    }

    /** Instances whose records this keeper has because they left. */
    get closedForGood(): readonly string[] {
        return [...this.left];
    }

    /** Earlier views that still matter. */
    get earlierViews(): readonly View[] {
        const nowMs = this.options.clock.nowMs();
        return this.passed.filter(entry => entry.untilMs > nowMs).map(entry => entry.view);
    }

    /** Instances of the list that are still to be asked for a sync under the view in force. */
    get missing(): readonly string[] {
        const isDone = (id: string): boolean =>
            this.answered.has(id) && (this.standing !== "fresh" || vouches(this.told.get(id)));
        return this.others(this.current?.entries ?? []).map(entry => entry.id).filter(id => !isDone(id));
    }

    /**
     * What this run can vouch for. It is established when it has run for as long
     * as keys are kept, when every other instance of the list told it what went
     * before, or when it saw a list from before it was named in one, so that no
     * former run of it can have voted.
     */
    get standing(): Standing {
        if (this.ownStanding !== "established" && this.current !== undefined) {
            const others = this.others(this.current.entries).map(entry => this.told.get(entry.id));
            const isTold = others.length > 0 && others.every(standing => standing === "established");
            const isCold = others.every(standing => standing === "fresh" || standing === "cold")
                && this.options.trustsColdStart();
            if (this.uptimeMs >= this.options.keyTtlMs() || isTold) {
                this.ownStanding = "established";
            }
            else if (isCold) {
                this.ownStanding = "cold";
            }
        }
        return this.ownStanding;
    }

    /** Whether a key that this keeper has not seen is proved to be new. */
    proves(key: string): boolean {
        const { current } = this;
        if (current === undefined) {
            return false;
        }
        const nowMs = this.options.clock.nowMs();
        const earlier = this.passed.filter(entry => entry.untilMs > nowMs);
        const isClosed = (entry: PassedView): boolean => {
            const keepers = entry.view.keepersOf(key);
            const closed = keepers.filter(keeper => this.hasClosed(keeper.id, entry.own)).length;
            return keepers.length === 0 || closed >= majorityOf(keepers);
        };
        return earlier.every(isClosed) && this.remembers(key, current);
    }

    private get uptimeMs(): number {
        return this.options.clock.nowMs() - this.startedAtMs;
    }

    /** Whether this run would know if it had voted for the key before its start. */
    private remembers(key: string, current: View): boolean {
        const madeAtUnixMs = keyMadeAtUnixMs(key);
        const isYounger = madeAtUnixMs !== undefined && madeAtUnixMs > this.startedAtUnixMs + clockSkewMs;
        return isYounger
            || this.standing !== "fresh"
            || this.others(current.keepersOf(key)).every(keeper => vouches(this.told.get(keeper.id)));
    }

    private others(entries: readonly ListedEntry[]): readonly ListedEntry[] {
        return entries.filter(entry => entry.id !== this.options.instance);
    }

    private hasClosed(id: string, own: boolean): boolean {
        if (id === this.options.instance) {
            return own;
        }
        const isAbsent = this.current?.list.instances.has(id) !== true;
        const absentForMs = isAbsent ? this.options.clock.nowMs() - this.adoptedAtMs : 0;
        return this.closing.has(id) || this.left.has(id) || absentForMs >= this.options.keyTtlMs();
    }

    private remember(view: View, own: boolean): void {
        const untilMs = this.options.clock.nowMs() + 2 * this.options.keyTtlMs();
        const others = this.passed.filter(entry => entry.view.hash !== view.hash);
        const known = this.passed.find(entry => entry.view.hash === view.hash);
        this.passed = [...others, { view, untilMs: Math.max(untilMs, known?.untilMs ?? 0), own: own || known?.own === true }];
    }
}

const vouches = (standing: Standing | undefined): boolean => standing === "established" || standing === "cold";
