/**
 * Whether this instance itself can reach upstreams, as opposed to whether they work.
 *
 * @packageDocumentation
 */

import type { Clock, RandomSource, ServiceName, Timer, UpstreamId } from "@harrierhitch/core";
import type { UpstreamEntry } from "@harrierhitch/decision";
import type { PortState } from "./check-port.js";
import { PathSet } from "./path-set.js";
import { type Path, selectLively, selectRandom } from "./path.js";
import { type PathCheck, type ReachabilityChange, toReachabilityChange } from "./reachability-change.js";
import { surveyServices } from "./survey-services.js";
import type { UpstreamTarget } from "./upstream-transport.js";

/** Options of {@link Reachability}. */
export interface ReachabilityOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Opens a connection to an upstream and closes it. */
    readonly checkPort: (upstream: UpstreamEntry) => Promise<PortState>;
    readonly onChange: (change: ReachabilityChange) => void;
}

/** Other upstreams of a service that are checked when one does not accept connections. */
const comparedUpstreams = 2;

/** Age up to which a response shows that an upstream can be reached, in milliseconds. */
const recentResponseMs = 100;

/** Shortest interval between checks of unreachable services, in milliseconds; up to twice as long, which spreads the instances. */
const recheckMs = 250;

/** Shortest interval between checks while upstreams become reachable again one by one, in milliseconds. */
const returnIntervalMs = 30;

/**
 * Tracks which upstreams accept connections of this instance.
 *
 * An upstream that fails is checked together with others of its service. If none of them accepts connections, this instance has lost its
 * path to the service; the other services are then checked, too. Each upstream becomes reachable again by a check of its own.
 */
export class Reachability {
    private readonly paths = new PathSet();
    private respondedAtMs = -Infinity;
    private recheckTimer: Timer | undefined;
    private isStopped = false;
    private readonly draw = (): number => this.options.random.next();

    /** @param options - Clock, checks and the receiver of changes. */
    constructor(private readonly options: ReachabilityOptions) {}

    /** Sets the upstreams; paths to those that stay keep their state. */
    configure(targets: readonly UpstreamTarget[]): void {
        this.paths.configure(targets);
    }

    /** Records a response of an upstream over a connection of this instance. */
    recordResponse(id: UpstreamId): void {
        const path = this.paths.find(id);
        if (path !== undefined) {
            path.respondedAtMs = this.options.clock.nowMs();
            path.state = "open";
            this.respondedAtMs = path.respondedAtMs;
            this.restore(path, []);
        }
    }

    /** Whether no upstream of any service has responded for a moment. */
    get isQuiet(): boolean {
        return this.options.clock.nowMs() - this.respondedAtMs >= recentResponseMs;
    }

    /** Whether this instance can reach an upstream, as far as it knows. */
    isReachable(id: UpstreamId): boolean {
        return this.paths.find(id)?.isReachable ?? true;
    }

    /** Whether at least one upstream of the service of an upstream can be reached. */
    isServiceReachable(id: UpstreamId): boolean {
        const service = this.paths.find(id)?.service;
        return service === undefined || this.paths.ofService(service).some(path => path.isReachable);
    }

    /** Returns the result of the last check of an upstream. */
    readonly stateOf = (id: UpstreamId): PortState | undefined => this.paths.find(id)?.state;

    /** Calls back when the path to an upstream is lost; returns a function that ends this. */
    onLost(id: UpstreamId, callback: () => void): () => void {
        const path = this.paths.find(id);
        path?.lostCallbacks.add(callback);
        return () => path?.lostCallbacks.delete(callback);
    }

    /** Returns the service of an upstream; `undefined` if it is unknown. */
    readonly serviceOf = (id: UpstreamId): ServiceName | undefined => this.paths.find(id)?.service;

    /**
     * Whether an upstream can be reached: it responded a moment ago, or accepts a connection now.
     *
     * @param id - The upstream.
     */
    async confirm(id: UpstreamId): Promise<boolean> {
        const path = this.paths.find(id);
        const isRecent = path !== undefined && this.options.clock.nowMs() - path.respondedAtMs < recentResponseMs;
        return isRecent || await this.verify(id);
    }

    /**
     * Finds out whether a failure or the silence of an upstream is due to the path of this instance.
     *
     * @param id - The upstream.
     * @returns Whether it accepts connections of this instance, or others of its service do and it refuses them.
     */
    async verify(id: UpstreamId): Promise<boolean> {
        const path = this.paths.find(id);
        if (path === undefined || !path.isReachable) {
            return path === undefined;
        }
        path.verification ??= this.checkPath(path)
            .then(check => check.state === "open" || this.compareOthers(path, check))
            .finally(() => path.verification = undefined);
        return await path.verification;
    }

    /** Opens a connection to an upstream; returns `undefined` if the upstream is unknown. */
    async check(id: UpstreamId): Promise<PortState | undefined> {
        const path = this.paths.find(id);
        return path === undefined ? undefined : (await this.checkPath(path)).state;
    }

    /** Verifies like {@link verify}, for an upstream that has just been found not to accept connections. */
    async compare(id: UpstreamId): Promise<boolean> {
        const path = this.paths.find(id);
        if (path === undefined || path.state === "open" || !path.isReachable) {
            return path?.isReachable ?? true;
        }
        return await this.compareOthers(path, { upstream: id, state: path.state });
    }

    /** Records that an upstream refuses connections of this instance but accepts those of others. */
    recordRefusal(id: UpstreamId): void {
        const path = this.paths.find(id);
        if (path?.state === "closed") {
            this.markUnreachable([path], [{ upstream: id, state: path.state }]);
        }
    }

    /** Ends all checks. */
    stop(): void {
        this.isStopped = true;
        this.recheckTimer?.cancel();
    }

    /** Checks other upstreams of the service of one that does not accept connections; returns whether its path is intact. */
    private async compareOthers(path: Path, check: PathCheck): Promise<boolean> {
        const startedAtMs = this.options.clock.nowMs();
        const candidates = this.paths.ofService(path.service).filter(other => other !== path && other.isReachable);
        const others = selectLively(candidates, comparedUpstreams, this.draw);
        const checks = [check, ...await Promise.all(others.map(other => this.checkPath(other)))];
        if (path.respondedAtMs >= startedAtMs || this.isStopped) {
            return true;
        }
        if (checks.some(({ state }) => state === "open")) {
            // An upstream that refuses while others accept has most likely crashed; a silent one may only be out of reach.
            return check.state === "closed" || !this.markUnreachable([path], checks);
        }
        this.markUnreachable(this.paths.quietSince(path.service, startedAtMs), checks);
        void this.surveyOthers(path.service);
        return false;
    }

    /** Checks services other than the one whose path was lost, without waiting for a failure of theirs; all if the first ones are lost, too. */
    private async surveyOthers(lost: ServiceName): Promise<void> {
        const services = [...this.paths.reachableServices].filter(service => service !== lost);
        await surveyServices(services, service => this.survey(service));
    }

    /** Checks a service; returns whether it can be reached. */
    private async survey(service: ServiceName): Promise<boolean> {
        const startedAtMs = this.options.clock.nowMs();
        const checks = await Promise.all(
            selectLively(this.paths.ofService(service), comparedUpstreams, this.draw).map(path => this.checkPath(path)),
        );
        const quiet = this.paths.quietSince(service, startedAtMs);
        const isLost = checks.every(({ state }) => state !== "open") && quiet.length === this.paths.ofService(service).length;
        if (isLost) {
            this.markUnreachable(quiet, checks);
        }
        return !isLost;
    }

    private async checkPath(path: Path): Promise<PathCheck> {
        const { clock, checkPort } = this.options;
        path.state = await checkPort(path.upstream);
        if (path.state === "open") {
            path.respondedAtMs = clock.nowMs();
        }
        return { upstream: path.upstream.id, state: path.state };
    }

    /** Marks paths as lost; returns whether there are any. */
    private markUnreachable(paths: readonly Path[], checks: readonly PathCheck[]): boolean {
        const lost = paths.filter(path => path.isReachable);
        lost.forEach(path => {
            path.isReachable = false;
        });
        this.report(lost, false, checks);
        lost.forEach(path => path.lostCallbacks.forEach(callback => callback()));
        this.recheckTimer ??= this.scheduleRecheck(recheckMs);
        return paths.length > 0;
    }

    private restore(path: Path, checks: readonly PathCheck[]): void {
        if (!path.isReachable) {
            path.isReachable = true;
            this.report([path], true, checks);
        }
    }

    private scheduleRecheck(delayMs: number): Timer {
        return this.options.clock.after(delayMs * (1 + this.options.random.next()), () => void this.recheck());
    }

    /** Checks one unreachable upstream of each service; those of a service become reachable again one after the other. */
    private async recheck(): Promise<void> {
        const { lost } = this.paths;
        const services = [...new Set(lost.map(({ service }) => service))];
        const candidates = services.flatMap(service =>
            selectRandom(lost.filter(path => path.service === service), this.draw) ?? []
        );
        const checks = await Promise.all(candidates.map(async path => ({ path, check: await this.checkPath(path) })));
        const open = checks.filter(({ check }) => check.state === "open");
        open.forEach(({ path, check }) => this.restore(path, [check]));
        const isDone = lost.length === open.length || this.isStopped;
        this.recheckTimer = isDone ? undefined : this.scheduleRecheck(open.length > 0 ? returnIntervalMs : recheckMs);
    }

    private report(paths: readonly Path[], isReachable: boolean, checks: readonly PathCheck[]): void {
        const [first] = paths;
        if (first === undefined) {
            return;
        }
        this.options.onChange(toReachabilityChange(first.service, paths, this.paths.ofService(first.service), {
            isReachable,
            checks,
            nowMs: this.options.clock.nowMs(),
        }));
    }
}
