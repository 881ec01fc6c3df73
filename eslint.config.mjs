import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "node_modules/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts", "**/*.mjs"],
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": ["error", "always"],
            "one-var": ["error", "never"],
            "prefer-const": "error",
            "prefer-arrow-callback": "error",
            "guard-for-in": "error",
            "no-restricted-syntax": [
                "error",
                { selector: "ForInStatement", message: "Use for..of over Object.keys or Object.entries." },
            ],
            "max-lines": ["error", { max: 400, skipBlankLines: true, skipComments: true }],
            "@typescript-eslint/no-explicit-any": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^$", varsIgnorePattern: "^$" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "memberLike", modifiers: ["private"], format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
        },
    },
);
