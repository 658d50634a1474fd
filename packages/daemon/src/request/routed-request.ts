/**
 * A request with its route.
 *
 * @packageDocumentation
 */

import type { Configuration, Route } from "@harrierhitch/configuration";
import type { IncomingMessage } from "node:http";
import type { CallerResponse } from "./caller-response.js";

export interface RoutedRequest {
    /** The configuration by which the request was routed. */
    readonly configuration: Configuration;
    /** Milliseconds since the last time as of which the configuration lacks no published change. */
    readonly stalenessMs: number;
    readonly route: Route;
    readonly request: IncomingMessage;
    readonly response: CallerResponse;
    /** Time of arrival; earlier than now if the request waited for this instance to become ready. */
    readonly arrivedAtMs: number;
}
