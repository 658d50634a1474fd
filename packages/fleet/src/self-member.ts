/**
 * The initial membership record of this instance.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { type Member, MemberSchema } from "@harrierhitch/protocol";
import type { FleetOptions } from "./fleet-options.js";

export const createSelfMember = (
    { instance, incarnation, availabilityZone, address, port, isPlatformReachable }: Pick<
        FleetOptions,
        "instance" | "incarnation" | "availabilityZone" | "address" | "port" | "isPlatformReachable"
    >,
): Member =>
    create(MemberSchema, {
        instance,
        incarnation: BigInt(incarnation),
        availabilityZone,
        address,
        port,
        platformReachable: isPlatformReachable(),
    });
