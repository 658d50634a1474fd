/**
 * Schema builders for the keys of settings and configuration. Each key has a description, unit, range and default, from which
 * the reference documentation is generated.
 *
 * @packageDocumentation
 */

import { isIP } from "node:net";
import * as z from "zod";
import { toMilliseconds } from "./parse-time.js";

// Compiling the schemas would delay the start, and each document is checked only once.
z.config({ jitless: true });

/** Description of a key for the reference documentation. */
export interface KeyDescription {
    readonly description: string;
    /** Description of the valid values. */
    readonly expected: string;
    /** Unit of a number, for example `ms`. */
    readonly unit?: string;
    /** Value of an absent key; a key without a default is required unless it is optional. */
    readonly defaultValue?: string | number | boolean;
    /** Whether the key may be absent without having a default. */
    readonly optional?: boolean;
}

/** Key descriptions by schema. */
export const keyDescriptions = z.registry<KeyDescription>();

export interface KeyOptions<Value> {
    /** Purpose of the key, ending with a full stop. */
    readonly description: string;
    /** Value of an absent key; a key without a default is required. */
    readonly defaultValue?: Value;
}

export interface NumberKeyOptions extends KeyOptions<number> {
    readonly minimum: number;
    readonly maximum: number;
    /** Unit of the number; absent for counts. */
    readonly unit?: string;
}

/** Converts a value of the document; returns `undefined` if it is invalid. */
type Parse<Value> = (value: unknown) => Value | undefined;

const key = <Value>(parse: Parse<Value>, expected: string, options: KeyOptions<Value>, unit?: string) => {
    const schema = z.unknown().optional().transform((value, context): Value => {
        if (value === undefined && options.defaultValue !== undefined) {
            return options.defaultValue;
        }
        const result = value === undefined ? undefined : parse(value);
        if (result === undefined) {
            const found = value === undefined ? "the key is missing" : `found ${JSON.stringify(value)}`;
            context.addIssue({ code: "custom", message: `${found}, expected ${expected}` });
            return z.NEVER;
        }
        return result;
    });
    keyDescriptions.add(schema, {
        description: options.description,
        expected,
        ...(unit === undefined ? {} : { unit }),
        ...(options.defaultValue === undefined ? {} : { defaultValue: options.defaultValue as string | number | boolean }),
    });
    return schema;
};

const numberParser = (options: NumberKeyOptions, pattern: RegExp): Parse<number> => value => {
    const number = typeof value === "string" && pattern.test(value) ? Number(value) : NaN;
    return number >= options.minimum && number <= options.maximum ? number : undefined;
};

const range = (options: NumberKeyOptions): string =>
    `from ${options.minimum} to ${options.maximum}${options.unit === undefined ? "" : ` (${options.unit})`}`;

/** Key for a whole number from `minimum` to `maximum`, without a sign. */
export const integerKey = (options: NumberKeyOptions) =>
    key(numberParser(options, /^\d+$/), `a whole number ${range(options)}`, options, options.unit);

/** Key for a time in milliseconds; the number may have a unit, as in `2500ms` or `2.5s`. */
export const millisecondsKey = (options: Omit<NumberKeyOptions, "unit">) => {
    const optionsWithUnit = { ...options, unit: "ms" };
    const parse: Parse<number> = value => {
        const [, number, unit] = /^(\d+(?:\.\d+)?)(ms|s)?$/.exec(typeof value === "string" ? value : "") ?? [];
        const timeMs = toMilliseconds(number ?? "", unit === "s" ? "s" : "ms");
        return timeMs >= options.minimum && timeMs <= options.maximum ? timeMs : undefined;
    };
    return key(parse, `a time ${range(optionsWithUnit)}, as 2500, 2500ms or 2.5s`, optionsWithUnit, "ms");
};

/** Key for a number with an optional fraction. */
export const numberKey = (options: NumberKeyOptions) =>
    key(numberParser(options, /^\d+(\.\d+)?$/), `a number ${range(options)}`, options, options.unit);

/** Key for `true` or `false`. */
export const booleanKey = (options: KeyOptions<boolean>) =>
    key<boolean>(value => typeof value === "boolean" ? value : undefined, "true or false", options);

/** Key for text, optionally restricted to a pattern. */
export const textKey = (options: KeyOptions<string> & { readonly expected?: string; readonly pattern?: RegExp; }) =>
    key(
        value => typeof value === "string" && (options.pattern ?? /./).test(value) ? value : undefined,
        options.expected ?? "text",
        options,
    );

/** Key for a name, for example of a section in the same document. */
export const nameKey = (options: KeyOptions<string>) =>
    textKey({ ...options, expected: "a name of lower-case letters, digits and hyphens", pattern: namePattern });

/** Key for an IP address. */
export const addressKey = (options: KeyOptions<string>) =>
    key(value => typeof value === "string" && isIP(value) !== 0 ? value : undefined, "an IP number", options);

/** Key for an IP address, optionally with a port as `IP:port`. */
export const endpointKey = (options: KeyOptions<string>) =>
    key(
        value => typeof value === "string" && (parseEndpoint(value) !== undefined || isIP(value) !== 0) ? value : undefined,
        "an IP number, or IP:port",
        options,
    );

/** An IP address and a port. */
export interface Endpoint {
    readonly address: string;
    readonly port: number;
}

/** Parses `IP:port`; returns `undefined` if the text has another form. */
export const parseEndpoint = (text: string): Endpoint | undefined => {
    const [, address = "", port = ""] = /^(.+):(\d{1,5})$/.exec(text.trim()) ?? [];
    const withoutBrackets = address.replace(/^\[(.*)\]$/, "$1");
    return isIP(withoutBrackets) !== 0 && Number(port) <= 65_535 ? { address: withoutBrackets, port: Number(port) } : undefined;
};

/** Key for one of several given values. */
export const choiceKey = <Choice extends string>(choices: readonly Choice[], options: KeyOptions<Choice>) =>
    key(value => choices.find(choice => choice === value), `one of ${choices.join(", ")}`, options);

/** Key for text that may be absent. */
export const optionalTextKey = (options: { readonly description: string; readonly expected?: string; }) => {
    const expected = options.expected ?? "text";
    const schema = z.unknown().optional().transform((value, context): string | undefined => {
        if (value === undefined || typeof value === "string" && value !== "") {
            return value;
        }
        context.addIssue({ code: "custom", message: `found ${JSON.stringify(value)}, expected ${expected}` });
        return z.NEVER;
    });
    keyDescriptions.add(schema, { description: options.description, expected, optional: true });
    return schema;
};

/** Pattern of names in settings and configuration. */
export const namePattern = /^[a-z0-9]([a-z0-9-]*[a-z0-9])?$/;

/** Section that may be absent, because all of its keys have a default or are optional. */
export const optionalSection = <Shape extends z.core.$ZodLooseShape>(shape: Shape) => z.strictObject(shape).prefault({} as never);
