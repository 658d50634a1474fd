/**
 * The transport from modelled instances to modelled upstreams.
 */

import type { Upstream } from "@harrierhitch/configuration";
import { type Clock, sleep, type UpstreamId } from "@harrierhitch/core";
import type { AttemptResult } from "@harrierhitch/decision";
import { remoteUse } from "../../src/upstream/connection-use.js";
import type { Attempt, ResponseSink, UpstreamRequest, UpstreamTransport } from "../../src/upstream/upstream-transport.js";
import type { DepartureChecker } from "./departure-checker.js";
import { modelCallerHeader } from "./model-request.js";
import type { ModelUpstream } from "./model-upstream.js";

/** Path at which modelled upstreams report their load. */
export const modelProbePath = "/load";

/** Header with an upstream's load report. */
export const modelLoadHeader = "load";

/** Header of an upstream that drains. */
export const modelDrainingHeader = "draining";

/** Header with an upstream's rate limit, in requests per second. */
export const modelLimitHeader = "limit";

/** Network delay between an instance and an upstream in each direction, in milliseconds. */
const oneWayDelayMs = 1;

/** Sends requests and probes of one instance to modelled upstreams. */
export class ModelTransport implements UpstreamTransport {
    constructor(
        private readonly clock: Clock,
        private readonly upstreams: ReadonlyMap<UpstreamId, ModelUpstream>,
        private readonly instance: string,
        /** Time to open a connection, in milliseconds. */
        private readonly connectMs = 0,
        private readonly departures?: DepartureChecker,
    ) {}

    send(upstream: Upstream, request: UpstreamRequest, sink: ResponseSink): Attempt {
        const model = this.upstreams.get(upstream.id);
        if (model === undefined) {
            throw new RangeError(`there is no model of ${upstream.id}`);
        }
        let abandon: (() => void) | undefined;
        const state = { isCancelled: false, hasBegun: false };
        const isCancelled = (): boolean => state.isCancelled;
        let settle: (result: AttemptResult) => void = () => undefined;
        const result = new Promise<AttemptResult>(resolve => {
            settle = resolve;
        });
        const respond = async (status: number, backoffMs?: number): Promise<void> => {
            const { load } = model;
            const responseBytes = status === 200 && request.path !== modelProbePath ? model.responseBytes : 0;
            const headers = {
                "content-length": String(responseBytes),
                ...(load === undefined ? {} : { [modelLoadHeader]: load }),
                ...(backoffMs === undefined ? {} : { "retry-after": String(backoffMs / 1000) }),
                ...(model.isDraining ? { [modelDrainingHeader]: "1" } : {}),
                ...(model.limitHeader === undefined ? {} : { [modelLimitHeader]: model.limitHeader }),
            };
            await sleep(this.clock, oneWayDelayMs);
            model.recordNotified(this.instance);
            if (sink.onHead(status, headers, "length") && responseBytes > 0) {
                sink.onData(Buffer.alloc(responseBytes));
            }
            settle({ end: "answered", status, detail: "", sent: true });
        };
        const deliver = async (): Promise<void> => {
            await sleep(this.clock, this.connectMs);
            if (isCancelled()) {
                return;
            }
            if (request.mayBegin?.() === false) {
                settle({ end: "withdrawn", status: undefined, detail: "", sent: false });
                return;
            }
            state.hasBegun = true;
            request.onBegin?.(remoteUse(1));
            await sleep(this.clock, oneWayDelayMs);
            model.recordArrival(this.instance);
            if (request.path !== modelProbePath) {
                model.recordRequest(this.instance);
            }
            const caller = callerOf(request);
            if (caller !== undefined) {
                this.departures?.recordArrival(caller);
            }
            if (request.path === modelProbePath) {
                model.probes += 1;
                await respond(200);
                return;
            }
            const backoffMs = model.requestBackoff(this.instance);
            if (backoffMs !== undefined) {
                model.sheds += 1;
                await respond(503, backoffMs);
                return;
            }
            // The upstream reads the request, and then the end of the connection if it was cancelled meanwhile.
            const end = this.departures?.recordWork(request.method === "GET" ? caller : undefined) ?? (() => undefined);
            const stop = model.accept(() => {
                end();
                void respond(200);
            });
            abandon = stop && (() => {
                end();
                stop();
            });
            if (isCancelled()) {
                abandon?.();
                return;
            }
            if (abandon === undefined) {
                end();
                await respond(503);
            }
        };
        void deliver();
        const cancel = (end: "timed-out" | "cancelled"): void => {
            state.isCancelled = true;
            abandon?.();
            settle({ end, status: undefined, detail: "cancelled", sent: state.hasBegun });
        };
        return { result, cancel, resume: () => undefined };
    }

    checkPort(): Promise<"open"> {
        return Promise.resolve("open");
    }

    configure(): void {}

    closeIdle(): void {}

    close(): Promise<void> {
        return Promise.resolve();
    }
}

const callerOf = ({ headers }: UpstreamRequest): string | undefined => {
    const index = headers.indexOf(modelCallerHeader);
    return index < 0 ? undefined : headers[index + 1];
};
