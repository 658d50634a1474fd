/**
 * Making what an instance provides to its requests.
 *
 * @packageDocumentation
 */

import type { InstanceId } from "@harrierhitch/core";
import type { InstanceParts } from "../instance-parts.js";
import type { ExplanationStore } from "../operators/explanation-store.js";
import { LimitedLines } from "../telemetry/limited-lines.js";
import type { Telemetry } from "../telemetry/telemetry.js";
import type { ProbeBudget } from "../upstream/probe-budget.js";
import { Prober } from "../upstream/prober.js";
import type { HeardNotice } from "./answer-notice.js";
import type { CrashWatch } from "./crash-watch.js";
import { RequestIds } from "./request-id.js";
import type { RequestServices } from "./request-services.js";

/** What they are made of. */
export interface RequestServicesOptions {
    readonly parts: InstanceParts;
    readonly instance: InstanceId;
    readonly incarnation: number;
    readonly explanations: ExplanationStore;
    readonly crashes: CrashWatch;
    readonly probeBudget: ProbeBudget;
    readonly telemetry: Telemetry;
}

/** Makes the parts that the requests of an instance share. */
export const makeRequestServices = (options: RequestServicesOptions): RequestServices => {
    const { parts, instance, incarnation, explanations, crashes, probeBudget, telemetry } = options;
    const { settings, clock, random, transport, dialect, log, metrics, onTraced } = parts;
    const { limits, callers, traces } = settings;
    const limitedLines = new LimitedLines({ clock, log, metrics });
    const onNotice = (notice: HeardNotice): void => telemetry.noticed(notice);
    return {
        clock,
        random,
        dialect,
        transport,
        prober: new Prober({
            clock,
            transport,
            dialect,
            budget: probeBudget,
            onProbe: (service, result) => metrics.probes.inc({ service: service.name, result }),
            onNotice,
        }),
        explanations,
        crashes,
        requestIds: new RequestIds(instance, incarnation),
        bodyLimits: { maximumBytes: callers.maximumBodyBytes, replayBytes: limits.replayBodyBytes },
        answerBufferBytes: limits.answerBufferBytes,
        log,
        sampleTrace: () => traces.otlpUrl !== undefined && random.next() < traces.sampleShare,
        onNotice,
        onDecision: (service, input, decision) => limitedLines.note(service, input, decision),
        onAttempt: (record, attempt) => telemetry.attempted(record, attempt),
        onServed: (record, sampled) => {
            telemetry.served(record);
            if (sampled) {
                onTraced?.(record);
            }
        },
    };
};
