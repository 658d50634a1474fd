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
export const rendezvous = <Node>(key: string, nodes: readonly Node[], idOf: (node: Node) => string): readonly Node[] =>
    nodes
        .map(node => ({ node, weight: weightOf(key, idOf(node)) }))
        .sort((a, b) => Buffer.compare(a.weight, b.weight))
        .map(({ node }) => node);

/** Weights that are remembered: instances look for their readers several times a second, and hashing hundreds of names is dear. */
const rememberedWeights = 8192;

const weights = new Map<string, Buffer>();

const weightOf = (key: string, id: string): Buffer => {
    const name = `${id}\n${key}`;
    const known = weights.get(name);
    if (known !== undefined) {
        return known;
    }
    if (weights.size >= rememberedWeights) {
        weights.clear();
    }
    const weight = createHash("sha1").update(name).digest();
    weights.set(name, weight);
    return weight;
};
