/**
 * The configuration of the benchmarks.
 *
 * @packageDocumentation
 */

/** The rank expression whose evaluation time is measured. */
export const rankExpression = "upstream.inFlight * 2.0 + upstream.latencyMs + (upstream.sameZone ? 0.0 : 3.0)";

/**
 * Returns a configuration of one service.
 *
 * @param ports - Ports of the upstreams.
 * @param chooser - Chooser of the policy.
 * @param rank - Rank expression of the policy; empty for none.
 */
export const benchConfiguration = (ports: readonly number[], chooser: string, rank: string): string => `
generation = 1
[fleet]
maximumInstances = 18
[kind.read]
repeatable = true
[route.read]
method = GET
path = /read
service = main
kind = read
[policy.main]
chooser = ${chooser}
${rank === "" ? "" : `rank = ${rank}`}
[service.main]
policy = main
${
    ports.map((port, index) =>
        `[upstream.main-${index}]\nservice = main\naddress = 127.0.0.1\nport = ${port}\navailabilityZone = hall-a`
    ).join("\n")
}
`;
