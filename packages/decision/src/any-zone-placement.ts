/**
 * The placement without restrictions, which is the default.
 *
 * @packageDocumentation
 */

import type { Placement, PlacementInput, ZonePlacement } from "./zone-placement.js";

/** Permits all zones. */
export class AnyZonePlacement implements ZonePlacement {
    readonly name = "any";

    place({ upstreams }: Pick<PlacementInput, "upstreams">): Placement {
        return { candidates: upstreams, scope: "all", reason: "any" };
    }
}
