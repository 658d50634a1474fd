/**
 * The paths from this instance to all upstreams.
 *
 * @packageDocumentation
 */

import type { ServiceName, UpstreamId } from "@harrierhitch/core";
import { newPath, type Path } from "./path.js";
import type { UpstreamTarget } from "./upstream-transport.js";

/** Stores the paths by upstream. */
export class PathSet {
    private paths = new Map<UpstreamId, Path>();

    /** Sets the upstreams; paths to those that stay keep their state. */
    configure(targets: readonly UpstreamTarget[]): void {
        this.paths = new Map(targets.map(({ upstream, service }) => {
            const previous = this.paths.get(upstream.id);
            const isSameAddress = previous?.upstream.address === upstream.address && previous.upstream.port === upstream.port;
            return [upstream.id, previous !== undefined && isSameAddress ? previous : newPath(upstream, service)];
        }));
    }

    find(id: UpstreamId): Path | undefined {
        return this.paths.get(id);
    }

    ofService(service: ServiceName): readonly Path[] {
        return [...this.paths.values()].filter(path => path.service === service);
    }

    /** Paths to a service without a response since a time. */
    quietSince(service: ServiceName, sinceMs: number): readonly Path[] {
        return this.ofService(service).filter(({ respondedAtMs }) => respondedAtMs < sinceMs);
    }

    /** Paths that are lost. */
    get lost(): readonly Path[] {
        return [...this.paths.values()].filter(path => !path.isReachable);
    }

    /** Services with at least one path that is not lost. */
    get reachableServices(): ReadonlySet<ServiceName> {
        return new Set([...this.paths.values()].filter(path => path.isReachable).map(({ service }) => service));
    }
}
