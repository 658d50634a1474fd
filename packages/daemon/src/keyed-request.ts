/**
 * Requests that must not run twice and carry a key.
 *
 * @packageDocumentation
 */

import type { KeyedResult } from "@harrierhitch/fleet";
import { createHash } from "node:crypto";
import { AnswerCopy } from "./answer-copy.js";
import type { RequestBody } from "./request-body.js";
import { overloadRetryAfterMs, type RequestProgress } from "./request-progress.js";
import type { RequestServices } from "./request-services.js";

/** Header that tells that an answer was given before. */
export const replayedHeader = "idempotency-replayed";

/** Time that is kept back for giving the caller its final answer. */
const answerMarginMs = 20;

/**
 * Serves a keyed request at most once in the whole fleet.
 *
 * @param progress - The request.
 * @param key - Its key.
 * @param body - Its body.
 * @param services - Claims keys, and is told of the result.
 * @param serve - Serves the request, once it is granted.
 */
export const serveOnce = async (
    progress: RequestProgress,
    key: string,
    body: RequestBody,
    { claimer, onClaim }: Pick<RequestServices, "claimer" | "onClaim">,
    serve: () => Promise<void>,
): Promise<void> => {
    const scoped = `${progress.route.service.name}\n${key}`;
    const result = await claimer.claim(scoped, fingerprintOf(progress, body), progress.deadlineAtMs - answerMarginMs);
    onClaim(result.type);
    switch (result.type) {
        case "granted": {
            const copy = new AnswerCopy();
            progress.copy = copy;
            await serve();
            const outcome = progress.record.outcome ?? "unknown";
            claimer.finish(scoped, result.claimId, { outcome, answer: outcome === "ran" ? copy.answer : undefined });
            break;
        }
        case "ended":
            answerAgain(progress, result.result);
            break;
        case "unknown":
            progress.giveUp({
                kind: "key-unknown",
                detail: result.detail,
                outcome: "unknown",
                retryAfterMs: overloadRetryAfterMs,
            });
            break;
        case "not-run":
            progress.giveUp({
                kind: "overloaded",
                detail: result.detail,
                outcome: "not-run",
                retryAfterMs: overloadRetryAfterMs,
            });
            break;
        case "mismatch":
            progress.giveUp({ kind: "key-reused", detail: "the key belongs to another request", outcome: "not-run" });
            break;
    }
};

/** Gives the answer of the sending that ran. */
const answerAgain = (progress: RequestProgress, { answer }: KeyedResult): void => {
    if (answer === undefined) {
        const detail = "the request ran before, and its answer is not kept any more";
        progress.giveUp({ kind: "already-ran", detail, outcome: "ran" });
        return;
    }
    progress.record.outcome = "ran";
    progress.record.status = answer.status;
    progress.answer.whole(answer, { ...progress.ownHeaders("ran"), [replayedHeader]: "true" });
};

/** A digest of what makes two sendings the same request of the same caller. */
const fingerprintOf = ({ request }: RequestProgress, body: RequestBody): string => {
    const hash = createHash("sha256");
    hash.update(`${request.method}\n${request.url}\n${request.headers.authorization ?? ""}\n`);
    hash.update(body.whole ?? request.headers["content-length"] ?? "");
    return hash.digest("base64");
};
