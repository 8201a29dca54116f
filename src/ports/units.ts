/**
 * Units of time, size and money used across the code base. Every duration in a
 * name or a setting is in milliseconds and every size in bytes unless the name
 * says otherwise.
 */

export const msPerSecond = 1000;
export const msPerMinute = 60 * msPerSecond;
export const msPerHour = 60 * msPerMinute;
export const msPerDay = 24 * msPerHour;

export const bytesPerKibibyte = 1024;
export const bytesPerMebibyte = 1024 * bytesPerKibibyte;
export const bytesPerGibibyte = 1024 * bytesPerMebibyte;
