/**
 * Draws a short day with callers that give up and several disruptions at once: `node scripts/draw-day.mjs SEED > FILE`.
 */

const seed = Number(process.argv[2] ?? 1);

/** Mulberry32, so that a seed draws the same day everywhere. */
let state = seed;
const random = () => {
    state = state + 0x6d2b79f5 | 0;
    const mixed = Math.imul(state ^ state >>> 15, 1 | state);
    const value = mixed + Math.imul(mixed ^ mixed >>> 7, 61 | mixed) ^ mixed;
    return ((value ^ value >>> 14) >>> 0) / 2 ** 32;
};
const between = (low, high) => Number((low + (high - low) * random()).toFixed(2));
const oneOf = values => values[Math.floor(random() * values.length)];

/** Disruptions: each draws the fields of one entry. */
const disruptions = [
    () => ({ kind: "burst", x: between(1.5, 3.5), for_s: between(1, 4) }),
    () => ({ kind: "retry_abuse", share: between(0.1, 0.5), x: between(2, 5), for_s: between(2, 5) }),
    () => ({ kind: "srv_slow", share: between(0.2, 0.9), x: between(3, 12), for_s: between(2, 6) }),
    () => ({
        kind: "srv_grey",
        how: oneOf(["errors", "shed", "busy", "hang", "reset", "mute", "slow"]),
        share: between(0.2, 0.6),
        for_s: between(2, 5),
    }),
    () => ({ kind: "srv_crash", how: oneOf(["", "dark", "gone"]), share: between(0.1, 0.4), for_s: between(1, 4) }),
    () => ({ kind: "answer_lost", share: between(0.3, 0.8), x: between(0.05, 0.3), for_s: between(2, 5) }),
    () => ({
        kind: "garble",
        how: oneOf(["", "extra", "unframed", "early"]),
        share: between(0.3, 0.6),
        x: between(0.02, 0.2),
        for_s: between(2, 5),
    }),
    () => ({ kind: "idle_race", share: between(0.3, 0.8), x: between(100, 400), for_s: between(2, 6) }),
    () => ({
        kind: "platform_down",
        how: oneOf(["silent", "busy", "nodes busy", "nodes silent", "nodes reset"]),
        share: between(0.2, 0.5),
        for_s: between(2, 6),
    }),
    () => ({ kind: "platform_slow", x: between(10, 60), for_s: between(2, 6) }),
    () => ({ kind: "node_cut", share: between(0.1, 0.3), for_s: between(1, 4) }),
    () => ({ kind: "node_freeze", share: between(0.1, 0.3), for_s: between(1, 3) }),
    () => ({ kind: "node_kill", share: between(0.1, 0.3), for_s: between(1, 2) }),
    () => ({ kind: "reset_conns", share: between(0.1, 0.5), x: between(0.2, 0.8) }),
    () => ({ kind: "lossy", x: between(0.02, 0.15), for_s: between(2, 5) }),
];

/** Planned work. */
const plans = [
    () => ({ kind: "config_change", how: oneOf(["route", "weights", "timeout", "idle"]) }),
    () => ({ kind: "config_storm", for_s: between(1, 4), gap_s: between(0.2, 0.6) }),
    () => ({ kind: "roll_term", share: between(0.2, 0.6), x: 3, gap_s: between(0.5, 1.5), how: oneOf(["", "busy"]) }),
    () => ({ kind: "release", share: between(0.2, 0.5), gap_s: between(0.3, 0.8) }),
    () => ({ kind: "scale_in", share: between(0.05, 0.2) }),
    () => ({ kind: "hup", share: between(0.2, 0.6), gap_s: between(0.5, 2) }),
];

const firstAtS = 0.5;
const lastAtS = 8;
const draw = (choices, count) => Array.from({ length: count }, () => ({ at: between(firstAtS, lastAtS), ...oneOf(choices)() }));
const givingUp = () => ({
    at: between(firstAtS, lastAtS),
    kind: "give_up",
    share: between(0.3, 0.9),
    x: between(150, 1500),
    for_s: between(2, 6),
});
const toToml = entry => `  { ${Object.entries(entry).map(([key, value]) => `${key} = ${JSON.stringify(value)}`).join(", ")} },`;

const faults = [givingUp(), givingUp(), givingUp(), ...draw(disruptions, 5 + Math.floor(random() * 4))];
const plan = draw(plans, 1 + Math.floor(random() * 2));
process.stdout.write([
    "[[day]]",
    `name = "drawn-${seed}"`,
    `slot = "trouble"`,
    `seed = ${seed}`,
    "plan = [",
    ...plan.map(toToml),
    "]",
    "faults = [",
    ...faults.map(toToml),
    "]",
    "",
].join("\n"));
