/**
 * Creates the services that the requests of an instance share.
 *
 * @packageDocumentation
 */

import type { Deadline, InstanceId } from "@harrierhitch/core";
import type { InstanceParts } from "../instance-parts.js";
import type { ExplanationStore } from "../operators/explanation-store.js";
import { RateLimitLog } from "../telemetry/rate-limit-log.js";
import type { Telemetry } from "../telemetry/telemetry.js";
import type { ProbeBudget } from "../upstream/probe-budget.js";
import { Prober } from "../upstream/prober.js";
import type { CrashDetector } from "./crash-detector.js";
import { RequestIds } from "./request-id.js";
import type { RequestServices } from "./request-services.js";
import type { ReceivedNotice } from "./response-notice.js";
import type { UnattributedResponse } from "./unattributed-response.js";

/** Options of {@link createRequestServices}. */
export interface CreateRequestServicesOptions {
    readonly parts: InstanceParts;
    readonly instance: InstanceId;
    readonly incarnation: number;
    readonly explanations: ExplanationStore;
    readonly crashes: CrashDetector;
    readonly probeBudget: ProbeBudget;
    readonly requestsEnd: Deadline;
    readonly telemetry: Telemetry;
}

export const createRequestServices = (options: CreateRequestServicesOptions): RequestServices => {
    const { parts, instance, incarnation, explanations, crashes, probeBudget, requestsEnd, telemetry } = options;
    const { settings, clock, random, transport, headerProtocol, log, metrics, polls, stateGate, onTraced } = parts;
    const { limits, callers, traces } = settings;
    const rateLimitLog = new RateLimitLog({ clock, log, metrics });
    const onNotice = (notice: ReceivedNotice): void => telemetry.noticeReceived(notice);
    const onUnattributed = (response: UnattributedResponse): void => telemetry.responseNotTaken(response);
    return {
        clock,
        random,
        headerProtocol,
        transport,
        prober: new Prober({
            clock,
            transport,
            headerProtocol,
            budget: probeBudget,
            onProbe: (service, result) => metrics.probes.inc({ service: service.name, result }),
            onNotice,
            onUnattributed,
        }),
        explanations,
        crashes,
        requestsEnd,
        requestIds: new RequestIds(instance, incarnation),
        bodyLimits: {
            maximumBytes: callers.maximumBodyBytes,
            replayBytes: limits.replayBodyBytes,
        },
        responseBufferBytes: limits.answerBufferBytes,
        log,
        polls,
        stateGate,
        sampleTrace: () => traces.otlpUrl !== undefined && random.next() < traces.sampleShare,
        onNotice,
        onUnattributed,
        onDecision: (service, input, decision) => rateLimitLog.record(service, input, decision),
        onAttempt: (record, attempt) => telemetry.attemptEnded(record, attempt),
        onDeparture: (record, departure) => telemetry.callerLeft(record, departure),
        onServed: (record, sampled) => {
            telemetry.requestServed(record);
            if (record.interruption !== undefined) {
                metrics.responsesInterrupted.inc({ service: record.route.service, reason: record.interruption });
            }
            if (sampled) {
                onTraced?.(record);
            }
        },
    };
};
