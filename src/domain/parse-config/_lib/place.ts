/** A place in the text; line and column count from 1. */
export type Place = {
	line: number;
	column: number;
};

/** A text that is neither YAML nor JSON. */
export type SyntaxFault = Place & {
	problem: string;
	remedy: string;
};
