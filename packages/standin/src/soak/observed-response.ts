/**
 * What a caller of a soak observed.
 *
 * @packageDocumentation
 */

/** Methods of the requests; only GET may be repeated. */
export type SoakMethod = "GET" | "POST" | "DELETE" | "OPTIONS";

/** What a caller observed of one request. */
export interface ObservedResponse {
    /** Number of the request; each is sent once. */
    readonly number: string;
    readonly method: SoakMethod;
    /** Name of the entry instance. */
    readonly entry: string;
    /** Incarnation of the entry instance. */
    readonly incarnation: number;
    /** HTTP status; `undefined` if the connection was lost. */
    readonly status: number | undefined;
    readonly outcome: string | undefined;
    /** Whether the body is complete and belongs to the request; meaningful with status 200. */
    readonly isCorrect: boolean;
    readonly durationMs: number;
    /** Whether this incarnation of the entry instance was stopped as planned when the request ended. */
    readonly duringPlannedStop: boolean;
}
