/** A place in a text; line and column count from 1. */
export type Place = {
	line: number;
	column: number;
};

/** A fault of a text that is neither valid YAML nor valid JSON. */
export type SyntaxFault = Place & {
	problem: string;
	remedy: string;
};
