declare module 'undici/lib/dispatcher/agent.js' {

	export {Agent as default} from 'undici';
}
