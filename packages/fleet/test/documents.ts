/**
 * Configuration documents for tests of the fleet.
 */

/** Returns a valid configuration document with a generation. */
export const configurationText = (generation: number, comment = ""): string =>
    `; ${comment}
generation = ${generation}
[kind.read]
repeatable = true
[service.main]
policy = main
[policy.main]
chooser = random
[upstream.main-1]
service = main
address = 127.0.0.1
port = 9000
availabilityZone = zone-0
[route.read]
method = GET
path = /
service = main
kind = read
`;
