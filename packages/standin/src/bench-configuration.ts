/**
 * The configuration of the benchmark.
 *
 * @packageDocumentation
 */

/** The rank whose cost is measured. */
export const rankExpression = "upstream.inFlight * 2.0 + upstream.latencyMs + (upstream.sameZone ? 0.0 : 3.0)";

/** A configuration of one service with the given upstreams. */
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
