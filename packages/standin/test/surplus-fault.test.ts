/**
 * Guards against a fault of the soak that does not fill its upstreams, or does not end.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { SoakChecker } from "../src/soak/soak-checker.js";
import { SoakServers } from "../src/soak/soak-servers.js";
import { sendSurplus } from "../src/soak/surplus-fault.js";

test("some upstreams are full and send surplus answers until the fault ends", async ({ mock }) => {
    mock.timers.enable({ apis: ["setTimeout"] });
    const servers = new SoakServers({ upstreams: 4, entries: 1, checker: new SoakChecker(7000) });
    const behaviours = () => servers.upstreams.map(({ standin }) => standin.behaviour);
    const before = behaviours();
    const fault = sendSurplus(servers, 500, 0.5);
    assert.deepEqual(behaviours().map(({ surplusShare, slots, queue }) => [surplusShare > 0, slots, queue]), [
        [false, 3, 12],
        [false, 3, 12],
        [true, 1, 0],
        [true, 1, 0],
    ]);
    mock.timers.tick(500);
    await fault;
    assert.deepEqual(behaviours(), before);
});
