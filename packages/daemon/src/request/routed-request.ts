/**
 * A request with what routing found for it.
 *
 * @packageDocumentation
 */

import type { Configuration, Route } from "@harrierhitch/configuration";
import type { IncomingMessage } from "node:http";
import type { CallerResponse } from "./caller-response.js";

/** One request as it was routed. */
export interface RoutedRequest {
    /** The configuration that it is served under, to its end. */
    readonly configuration: Configuration;
    /** The route that matched. */
    readonly route: Route;
    readonly request: IncomingMessage;
    readonly answer: CallerResponse;
    /** When it arrived: earlier than now where it waited for this instance to be ready. */
    readonly arrivedAtMs: number;
}
