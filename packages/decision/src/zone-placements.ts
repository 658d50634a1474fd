/**
 * The zone placements by name.
 *
 * @packageDocumentation
 */

import type { ZonePlacementName } from "@harrierhitch/configuration";
import { AnyZonePlacement } from "./any-zone-placement.js";
import { NearestInTimePlacement } from "./nearest-in-time-placement.js";
import type { ZonePlacement } from "./zone-placement.js";

export const zonePlacements: Readonly<Record<ZonePlacementName, ZonePlacement>> = {
    "any": new AnyZonePlacement(),
    "nearest-in-time": new NearestInTimePlacement(),
};

/** Largest payload of one TCP segment, in bytes. Keeping so little at home saves no traffic worth mentioning. */
const segmentBytes = 1460;

/** Returns the placement of a request: that of its policy, or `any` if its payload fits into one segment. */
export const placementNameOf = (policyPlacement: ZonePlacementName, expectedBytes: number): ZonePlacementName =>
    expectedBytes <= segmentBytes ? "any" : policyPlacement;
