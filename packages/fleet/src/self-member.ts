/**
 * What this instance tells others of itself when it begins.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { type Member, MemberSchema } from "@harrierhitch/protocol";
import type { FleetOptions } from "./fleet-options.js";

/** Makes the member that this instance is. */
export const createSelfMember = (
    { instance, incarnation, availabilityZone, address, port }: Pick<
        FleetOptions,
        "instance" | "incarnation" | "availabilityZone" | "address" | "port"
    >,
): Member =>
    create(MemberSchema, {
        instance,
        incarnation: BigInt(incarnation),
        availabilityZone,
        address,
        port,
        platformReachable: true,
    });
