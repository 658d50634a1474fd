/**
 * Guards against too many instances sending to one cold upstream, and against instances that disagree on the participants
 * of a rate limit.
 */

import { create } from "@bufbuild/protobuf";
import { FakeClock, instanceId, SeededRandom } from "@harrierhitch/core";
import { type Member, MemberSchema } from "@harrierhitch/protocol";
import { defaultFleetTimes } from "@harrierhitch/published";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { MemberAssignment } from "../src/member-assignment.js";
import { Members } from "../src/members.js";

const settleMs = 2500;

const memberOf = (index: number): Member => create(MemberSchema, { instance: instanceId(`n${index}`), incarnation: 1n });

/** Creates the assignment of an instance that knows some members. */
const createAssignment = async (self: number, known: readonly number[], afterMs = settleMs) => {
    const clock = new FakeClock();
    const members = new Members({ clock, self: memberOf(self), times: defaultFleetTimes });
    members.merge(known.map(memberOf), "other");
    const assignment = new MemberAssignment({ clock, members, joinedAtMs: 0, settleMs });
    await clock.advance(afterMs);
    return { assignment, members };
};

/** Returns the number of participants that an instance counts for a cold upstream. */
const participantsOf = async (self: number, known: readonly number[], upstream: string, afterMs = settleMs): Promise<number> =>
    (await createAssignment(self, known, afterMs)).assignment.participantsOf(upstream);

const range = (count: number): readonly number[] => Array.from({ length: count }, (_, index) => index);

describe("of instances that know each other", () => {
    [95, 312, 900].forEach(size => {
        test(`three of ${size} are participants of each cold upstream`, async () => {
            const counts = await Promise.all(range(size).map(self => participantsOf(self, range(size), "u1")));
            assert.deepEqual(counts.filter(count => count > 0), [3, 3, 3]);
        });
    });

    test("none is a participant before it has had time to discover the others", async () => {
        const counts = await Promise.all(range(95).map(self => participantsOf(self, [], "u1", settleMs - 1)));
        assert.ok(counts.every(count => count === 0));
    });

    test("fewer than twelve of 95 are participants of an upstream while each knows a random half of the others", async () => {
        const random = new SeededRandom(12);
        const known = range(95).map(() => range(95).filter(() => random.next() < 0.5));
        const counts = await Promise.all(
            range(200).map(async upstream => {
                const found = await Promise.all(range(95).map(self => participantsOf(self, known[self] ?? [], `u${upstream}`)));
                return found.filter(count => count > 0).length;
            }),
        );
        assert.ok(Math.max(...counts) < 12, `up to ${Math.max(...counts)} participants`);
    });
});

describe("of instances that share the rate limit of an upstream", () => {
    [3, 13, 95, 300].forEach(size =>
        [2, 9, 42].forEach(wanted => {
            test(`up to ${wanted} of ${size} are participants, and all agree on their number`, async () => {
                const shares = await Promise.all(
                    range(size).map(async self =>
                        (await createAssignment(self, range(size))).assignment.limitShare("u1", wanted)
                    ),
                );
                const participants = Math.min(wanted, size);
                assert.equal(shares.filter(({ isParticipant }) => isParticipant).length, participants);
                assert.ok(shares.every(share => share.participants === participants && share.members === size));
            });
        })
    );

    test("an instance that knows no other, has just joined, or leaves is no participant", async () => {
        const alone = await createAssignment(0, []);
        assert.deepEqual(alone.assignment.limitShare("u1", 9), { isParticipant: false, participants: 2, members: 2 });
        const unsettled = await createAssignment(0, range(3), settleMs - 1);
        assert.equal(unsettled.assignment.limitShare("u1", 9).isParticipant, false);
        const leaving = await createAssignment(0, range(3));
        assert.equal(leaving.assignment.limitShare("u1", 9).isParticipant, true);
        leaving.members.updateSelf({ leaving: true });
        assert.equal(leaving.assignment.limitShare("u1", 9).isParticipant, false);
    });

    test("members that are discovered later count", async () => {
        const { assignment, members } = await createAssignment(0, range(3));
        assert.equal(assignment.limitShare("u1", 9).participants, 3);
        members.merge(range(8).map(memberOf), "other");
        assert.equal(assignment.limitShare("u1", 9).participants, 8);
    });
});
