/**
 * Builders for the keys of settings and configuration. Each key carries its
 * description, unit, range and default, from which the reference is made.
 *
 * @packageDocumentation
 */

import { isIP } from "node:net";
import * as z from "zod";

// Documents are few and checked once; compiling a checker for each schema would only delay a start.
z.config({ jitless: true });

/** What the reference says of a key. */
export interface KeyDescription {
    /** What the key is for. */
    readonly description: string;
    /** What a value may be. */
    readonly expected: string;
    /** Unit of a number, for example `ms`. */
    readonly unit?: string;
    /** Value used when the key is absent; without one the key is required, unless optional. */
    readonly defaultValue?: string | number | boolean;
    /** Whether the key may be absent although it has no default. */
    readonly optional?: boolean;
}

/** Descriptions by schema, for the reference. */
export const keyDescriptions = z.registry<KeyDescription>();

/** Options of every key. */
export interface KeyOptions<Value> {
    /** What the key is for, as a full sentence. */
    readonly description: string;
    /** Value used when the key is absent; a key without a default is required. */
    readonly defaultValue?: Value;
}

/** Options of a key that holds a number. */
export interface NumberKeyOptions extends KeyOptions<number> {
    readonly minimum: number;
    readonly maximum: number;
    /** Unit of the number; absent for plain counts. */
    readonly unit?: string;
}

type Read<Value> = (value: unknown) => Value | undefined;

const key = <Value>(read: Read<Value>, expected: string, options: KeyOptions<Value>, unit?: string) => {
    const schema = z.unknown().optional().transform((value, context): Value => {
        if (value === undefined && options.defaultValue !== undefined) {
            return options.defaultValue;
        }
        const result = value === undefined ? undefined : read(value);
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

const readNumber = (options: NumberKeyOptions, pattern: RegExp): Read<number> => value => {
    const number = typeof value === "string" && pattern.test(value) ? Number(value) : NaN;
    return number >= options.minimum && number <= options.maximum ? number : undefined;
};

const range = (options: NumberKeyOptions): string =>
    `from ${options.minimum} to ${options.maximum}${options.unit === undefined ? "" : ` (${options.unit})`}`;

/** A key that holds a whole number. */
export const integerKey = (options: NumberKeyOptions) =>
    key(readNumber(options, /^\d+$/), `a whole number ${range(options)}`, options, options.unit);

/** A key that holds a time in milliseconds; a unit may follow the number, as in `2500ms` or `2.5s`. */
export const millisecondsKey = (options: Omit<NumberKeyOptions, "unit">) => {
    const described = { ...options, unit: "ms" };
    const read: Read<number> = value => {
        const [, number, unit] = /^(\d+(?:\.\d+)?)(ms|s)?$/.exec(typeof value === "string" ? value : "") ?? [];
        const timeMs = Number(number) * (unit === "s" ? 1000 : 1);
        return timeMs >= options.minimum && timeMs <= options.maximum ? timeMs : undefined;
    };
    return key(read, `a time ${range(described)}, as 2500, 2500ms or 2.5s`, described, "ms");
};

/** A key that holds a number with an optional fraction. */
export const numberKey = (options: NumberKeyOptions) =>
    key(readNumber(options, /^\d+(\.\d+)?$/), `a number ${range(options)}`, options, options.unit);

/** A key that holds `true` or `false`. */
export const booleanKey = (options: KeyOptions<boolean>) =>
    key<boolean>(value => typeof value === "boolean" ? value : undefined, "true or false", options);

/** A key that holds text of one form. */
export const textKey = (options: KeyOptions<string> & { readonly expected?: string; readonly pattern?: RegExp; }) =>
    key(
        value => typeof value === "string" && (options.pattern ?? /./).test(value) ? value : undefined,
        options.expected ?? "text",
        options,
    );

/** A key that names something in the same document. */
export const nameKey = (options: KeyOptions<string>) =>
    textKey({ ...options, expected: "a name of lower-case letters, digits and hyphens", pattern: namePattern });

/** A key that holds an IP number. */
export const addressKey = (options: KeyOptions<string>) =>
    key(value => typeof value === "string" && isIP(value) !== 0 ? value : undefined, "an IP number", options);

/** A key that holds an IP number, or an IP number and a port as `IP:port`. */
export const endpointKey = (options: KeyOptions<string>) =>
    key(
        value => typeof value === "string" && (parseEndpoint(value) !== undefined || isIP(value) !== 0) ? value : undefined,
        "an IP number, or IP:port",
        options,
    );

/** An address with its port. */
export interface Endpoint {
    readonly address: string;
    readonly port: number;
}

/** Reads `IP:port`; `undefined` when the text is none. */
export const parseEndpoint = (text: string): Endpoint | undefined => {
    const [, address = "", port = ""] = /^(.+):(\d{1,5})$/.exec(text.trim()) ?? [];
    const plain = address.replace(/^\[(.*)\]$/, "$1");
    return isIP(plain) !== 0 && Number(port) <= 65_535 ? { address: plain, port: Number(port) } : undefined;
};

/** A key that holds one of a few words. */
export const choiceKey = <Choice extends string>(choices: readonly Choice[], options: KeyOptions<Choice>) =>
    key(value => choices.find(choice => choice === value), `one of ${choices.join(", ")}`, options);

/** A text key that may be absent. */
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

/** The form of names in settings and configuration. */
export const namePattern = /^[a-z0-9]([a-z0-9-]*[a-z0-9])?$/;

/** A section that may be absent because each of its keys has a default or is optional. */
export const optionalSection = <Shape extends z.core.$ZodLooseShape>(shape: Shape) => z.strictObject(shape).prefault({} as never);
