/**
 * Branded types: values that look alike at run time but must not be mixed up.
 *
 * @packageDocumentation
 */

declare const brand: unique symbol;

/** A `Base` value that only the constructor function of its own brand may produce. */
export type Branded<Base, Name extends string> = Base & { readonly [brand]: Name; };
