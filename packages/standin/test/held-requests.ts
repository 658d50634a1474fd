/**
 * A system whose requests wait in the queue while their upstream works on another one.
 */

import { startSystem, type System } from "./system.js";

/** The deadline is far beyond what a test waits, so that nothing but the caller's departure cancels a request. */
export const kind = "timeoutMs = 600000\n";

/** Requests that wait in the queue for as long as a test takes. */
const configuration = `
[kind.held]
repeatable = true
timeoutMs = 600000
targetLatencyMs = 600000
policy = held
[kind.held-once]
repeatable = false
timeoutMs = 600000
targetLatencyMs = 600000
policy = held
[kind.urgent]
repeatable = true
weight = 10
timeoutMs = 600000
targetLatencyMs = 600000
policy = held
[route.urgent]
method = PUT
path = /urgent
service = main
kind = urgent
[route.held]
method = PUT
path = /held
service = main
kind = held
[route.held-once]
method = POST
path = /held
service = main
kind = held-once
[policy.held]
chooser = round-robin
maximumHoldPercent = 50
hold = service.inFlight > 0.0 && request.holdLeftMs > 0.0
`;

/** Starts a system whose upstream answers nothing at first. */
export const startHoldingSystem = (service = "", settings = ""): Promise<System> =>
    startSystem({
        settings,
        upstreams: [{ hang: true, slots: 50, queue: 50 }],
        kind,
        service: `maximumHoldMs = 60000\n${service}`,
        configuration,
    });

/** Sum of the values of a metric. */
export const metric = async (system: System, name: string): Promise<number> => {
    const lines = (await system.daemon.metricsText()).split("\n").filter(line => line.startsWith(name));
    return lines.reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0);
};

export const inFlight = (system: System): Promise<number> => metric(system, "harrierhitch_requests_in_flight");
