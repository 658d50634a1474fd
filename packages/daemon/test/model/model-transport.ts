/**
 * A transport to modelled upstreams.
 */

import type { Upstream } from "@harrierhitch/configuration";
import { type Clock, sleep, type UpstreamId } from "@harrierhitch/core";
import type { AttemptResult } from "@harrierhitch/decision";
import type { Attempt, ResponseSink, UpstreamRequest, UpstreamTransport } from "../../src/upstream/upstream-transport.js";
import type { ModelUpstream } from "./model-upstream.js";

/** Path at which modelled upstreams are asked for their load. */
export const modelProbePath = "/load";

/** Header with their load. */
export const modelLoadHeader = "load";

/** Header of an upstream that leaves. */
export const modelLeavingHeader = "leaving";

/** Header of an upstream that names how much it takes. */
export const modelLimitHeader = "limit";

/** Time from an instance to an upstream. */
const wayMs = 1;

/** Sends to modelled upstreams. */
export class ModelTransport implements UpstreamTransport {
    constructor(
        private readonly clock: Clock,
        private readonly upstreams: ReadonlyMap<UpstreamId, ModelUpstream>,
        private readonly instance: string,
        /** Time until a connection is there. */
        private readonly connectMs = 0,
    ) {}

    send(upstream: Upstream, request: UpstreamRequest, sink: ResponseSink): Attempt {
        const model = this.upstreams.get(upstream.id);
        if (model === undefined) {
            throw new RangeError(`there is no model of ${upstream.id}`);
        }
        let leave: (() => void) | undefined;
        let settle: (result: AttemptResult) => void = () => undefined;
        const result = new Promise<AttemptResult>(resolve => {
            settle = resolve;
        });
        const answer = async (status: number, restMs?: number): Promise<void> => {
            const { load } = model;
            const headers = {
                "content-length": "0",
                ...(load === undefined ? {} : { [modelLoadHeader]: load }),
                ...(restMs === undefined ? {} : { "retry-after": String(restMs / 1000) }),
                ...(model.isLeaving ? { [modelLeavingHeader]: "1" } : {}),
                ...(model.limitHeader === undefined ? {} : { [modelLimitHeader]: model.limitHeader }),
            };
            await sleep(this.clock, wayMs);
            model.noteTold(this.instance);
            sink.onHead(status, headers);
            settle({ end: "answered", status, detail: "", sent: true });
        };
        const arrive = async (): Promise<void> => {
            await sleep(this.clock, this.connectMs);
            if (request.mayBegin?.() === false) {
                settle({ end: "withdrawn", status: undefined, detail: "", sent: false });
                return;
            }
            await sleep(this.clock, wayMs);
            model.noteArrival(this.instance);
            if (request.path !== modelProbePath) {
                model.noteRequest(this.instance);
            }
            if (request.path === modelProbePath) {
                model.probes += 1;
                await answer(200);
                return;
            }
            const restMs = model.askForRest(this.instance);
            if (restMs !== undefined) {
                model.sheds += 1;
                await answer(503, restMs);
                return;
            }
            leave = model.take(() => void answer(200));
            if (leave === undefined) {
                await answer(503);
            }
        };
        void arrive();
        const cancel = (end: "timed-out" | "cancelled"): void => {
            leave?.();
            settle({ end, status: undefined, detail: "given up", sent: true });
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
