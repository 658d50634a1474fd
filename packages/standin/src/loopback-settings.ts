/**
 * Settings of daemons on loopback, for quickstart and benchmarks.
 *
 * @packageDocumentation
 */

/** What differs between such daemons. */
export interface LoopbackSettingsOptions {
    readonly id: string;
    readonly availabilityZone: string;
    readonly fleet: string;
    readonly platformPort: number;
    /** Ports; the default 0 takes a free one. */
    readonly callersPort?: number;
    readonly operatorsPort?: number;
    readonly peersPort?: number;
    /** Ports between instances of those that are asked first. */
    readonly seedPorts?: readonly number[];
}

/** Writes the settings. */
export const loopbackSettings = (options: LoopbackSettingsOptions): string => `
[instance]
id = ${options.id}
availabilityZone = ${options.availabilityZone}
[callers]
address = 127.0.0.1
port = ${options.callersPort ?? 0}
[operators]
address = 127.0.0.1
port = ${options.operatorsPort ?? 0}
[peers]
address = 127.0.0.1
port = ${options.peersPort ?? 0}
fleet = ${options.fleet}
seeds = ${(options.seedPorts ?? []).map(port => `127.0.0.1:${port}`).join(", ")}
[platform]
addresses = 127.0.0.1:${options.platformPort}
[limits]
stopDelayMs = 0
`;
