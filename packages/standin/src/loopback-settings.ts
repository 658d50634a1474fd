/**
 * Settings of daemons on loopback, for the quickstart, the benchmarks and the soak.
 *
 * @packageDocumentation
 */

/** Settings that differ between daemons. */
export interface LoopbackSettingsOptions {
    readonly id: string;
    readonly availabilityZone: string;
    readonly fleet: string;
    readonly platformPort: number;
    /** Port for callers; a free port by default. */
    readonly callersPort?: number;
    /** Port for operators; a free port by default. */
    readonly operatorsPort?: number;
    /** Port for other instances; a free port by default. */
    readonly peersPort?: number;
    /** Peers' ports of the seed instances. */
    readonly seedPorts?: readonly number[];
}

/** Returns the text of a settings file. */
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
