/**
 * Rendezvous hashing: every instance finds the same order of nodes for a key,
 * and a node that comes or goes moves only its own keys.
 *
 * @packageDocumentation
 */

import { createHash } from "node:crypto";

/**
 * Orders nodes for a key, the first being the one in charge.
 *
 * @param key - The key.
 * @param nodes - The nodes, in any order.
 * @param idOf - The id of a node.
 */
export const rendezvousOrder = <Node>(key: string, nodes: readonly Node[], idOf: (node: Node) => string): readonly Node[] => {
    const weights = weightsFor(key);
    return nodes
        .map(node => ({ node, weight: weightOf(weights, key, idOf(node)) }))
        .sort((a, b) => a.weight - b.weight)
        .map(({ node }) => node);
};

/** Weights that are remembered: instances look for their sources every second, and hashing hundreds of names is dear. */
const rememberedWeights = 131_072;

/** Bytes of the hash that make a weight: as many as a number holds exactly. */
const weightBytes = 6;

const remembered = new Map<string, Map<string, number>>();
let count = 0;

const weightsFor = (key: string): Map<string, number> => {
    const known = remembered.get(key);
    if (known !== undefined) {
        return known;
    }
    const weights = new Map<string, number>();
    remembered.set(key, weights);
    return weights;
};

const weightOf = (weights: Map<string, number>, key: string, id: string): number => {
    const known = weights.get(id);
    if (known !== undefined) {
        return known;
    }
    if (count >= rememberedWeights) {
        remembered.forEach(others => others.clear());
        count = 0;
    }
    count += 1;
    const weight = createHash("sha1").update(`${id}\n${key}`).digest().readUIntBE(0, weightBytes);
    weights.set(id, weight);
    return weight;
};
