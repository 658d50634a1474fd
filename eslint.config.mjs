import tsdoc from "eslint-plugin-tsdoc";
import tseslint from "typescript-eslint";

/** Packages in dependency order: each may import only packages listed before it. */
const order = ["core", "policy", "configuration", "decision", "published", "protocol", "fleet", "daemon", "command", "standin"];

/** Further packages that a package must not import although they are listed before it. */
const extraForbidden = { command: ["fleet", "daemon"], protocol: ["policy", "configuration", "decision", "published"] };

const orderRules = order.map((name, index) => ({
    files: [`packages/${name}/**/*.ts`],
    rules: {
        "no-restricted-imports": ["error", {
            patterns: [{
                group: [...order.slice(index), ...(extraForbidden[name] ?? []), "platform"].map(other =>
                    `@harrierhitch/${other}`
                ),
                message: "Packages import only packages before them; see eslint.config.mjs.",
            }, {
                group: ["@harrierhitch/*/*", "../../*/src/*"],
                message: "Other packages are used through their index.",
            }],
        }],
    },
}));

const selectors = [
    { selector: "FunctionDeclaration[id.name!='check']", message: "Use arrow functions." },
    { selector: "ThrowStatement > Literal", message: "Throw typed errors." },
    { selector: "ThrowStatement > NewExpression[callee.name='Error']", message: "Throw typed errors." },
    { selector: "ThrowStatement > TemplateLiteral", message: "Throw typed errors." },
];

export default tseslint.config(
    { ignores: ["**/dist/**", "target/**", "scripts/*.cjs", "**/generated/**", "**/node_modules/**", "**/*.mjs", "**/bin/*.js"] },
    ...tseslint.configs.strictTypeChecked,
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        plugins: { tsdoc },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-restricted-syntax": ["error", ...selectors],
            "no-underscore-dangle": "error",
            "tsdoc/syntax": "error",
            "max-lines": ["error", { max: 250 }],
            "max-lines-per-function": ["error", { max: 60, skipComments: true, skipBlankLines: true }],
            "@typescript-eslint/no-import-type-side-effects": "error",
            "@typescript-eslint/naming-convention": ["error", {
                selector: "typeLike",
                format: ["PascalCase"],
                custom: { regex: "^I[A-Z]", match: false },
            }],
            "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true, allowBoolean: true }],
            "@typescript-eslint/no-confusing-void-expression": ["error", { ignoreArrowShorthand: true }],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_", varsIgnorePattern: "^_$" }],
        },
    },
    {
        files: ["packages/*/test/**/*.ts", "platform/test/**/*.ts"],
        rules: {
            "max-lines-per-function": "off",
            "@typescript-eslint/no-floating-promises": "off",
            "@typescript-eslint/no-non-null-assertion": "off",
            "@typescript-eslint/require-await": "off",
        },
    },
    ...orderRules,
);
