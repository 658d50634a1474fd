/**
 * Guards against exceeding an upstream's rate limit while instances do not reach each other.
 */

import { testLimitFailures } from "./model/limit-failures.js";

testLimitFailures({
    "an instance is isolated from the others": (fleet, index) => void fleet.peers.isolated.add(index),
    "the instances are partitioned into two halves": fleet => {
        fleet.peers.isPartitioned = (a, b) => a % 2 !== b % 2;
    },
});
