declare module 'undici/lib/dispatcher/agent.js' {
	export {Agent as default} from 'undici';
}

declare module 'undici/lib/core/connect.js' {
	export {buildConnector as default} from 'undici';
}

declare module 'undici/lib/core/symbols.js' {
	const symbols: Readonly<Record<'kParser' | 'kWriting' | 'kError', symbol>>;
	export default symbols;
}
