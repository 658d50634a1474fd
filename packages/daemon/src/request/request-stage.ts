/**
 * What a request is waiting for.
 *
 * @packageDocumentation
 */

/**
 * What a request is waiting for.
 *
 * - `starting`: the instance has just started or refreshes its state after a stall.
 * - `receiving`: the rest of its body.
 * - `ordering`: responses to earlier requests on its connection.
 * - `deciding`: a decision, including probes for it.
 * - `queued`: headroom.
 * - `connecting`: a connection to the selected upstream; nothing was sent yet.
 * - `running`: the response of an upstream.
 * - `streaming`: the end of a response whose head was sent to the caller.
 */
export type RequestStage =
    | "starting"
    | "receiving"
    | "ordering"
    | "deciding"
    | "queued"
    | "connecting"
    | "running"
    | "streaming";
