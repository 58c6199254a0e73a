#include "standins/ScenarioLanguage.h"

#include <lua.hpp>

#include <map>
#include <stdexcept>

namespace pimentoward::standins {

namespace {

using Json = nlohmann::json;

constexpr int maxTableDepth = 16;

Json toJson(lua_State *lua, int index, int depth);

/// Converts a table whose keys are 1..n to an array, and any other table to an object.
Json tableToJson(lua_State *lua, int index, int depth)
{
    if (depth > maxTableDepth) {
        throw std::runtime_error("a table is nested too deeply");
    }
    const auto length = lua_rawlen(lua, index);
    Json result = length > 0 ? Json::array() : Json::object();
    if (length > 0) {
        for (lua_Unsigned position = 1; position <= length; ++position) {
            lua_rawgeti(lua, index, static_cast<lua_Integer>(position));
            result.push_back(toJson(lua, lua_gettop(lua), depth + 1));
            lua_pop(lua, 1);
        }
        return result;
    }
    lua_pushnil(lua);
    while (lua_next(lua, index) != 0) {
        // The key is copied, because converting a number key in place would confuse lua_next.
        lua_pushvalue(lua, -2);
        const std::string key = lua_tostring(lua, -1);
        lua_pop(lua, 1);
        result[key] = toJson(lua, lua_gettop(lua), depth + 1);
        lua_pop(lua, 1);
    }
    return result;
}

Json toJson(lua_State *lua, int index, int depth)
{
    switch (lua_type(lua, index)) {
    case LUA_TNIL:
        return nullptr;
    case LUA_TBOOLEAN:
        return lua_toboolean(lua, index) != 0;
    case LUA_TNUMBER:
        if (lua_isinteger(lua, index) != 0) {
            return lua_tointeger(lua, index);
        }
        return lua_tonumber(lua, index);
    case LUA_TSTRING:
        return std::string(lua_tostring(lua, index));
    case LUA_TTABLE:
        return tableToJson(lua, index, depth);
    default:
        throw std::runtime_error("a verb takes only tables, strings, numbers and booleans");
    }
}

void push(lua_State *lua, const Json &value)
{
    if (value.is_boolean()) {
        lua_pushboolean(lua, value.get<bool>() ? 1 : 0);
    } else if (value.is_number_integer()) {
        lua_pushinteger(lua, value.get<lua_Integer>());
    } else if (value.is_number()) {
        lua_pushnumber(lua, value.get<lua_Number>());
    } else if (value.is_string()) {
        lua_pushstring(lua, value.get<std::string>().c_str());
    } else if (value.is_array()) {
        lua_newtable(lua);
        lua_Integer position = 0;
        for (const Json &item : value) {
            push(lua, item);
            lua_rawseti(lua, -2, ++position);
        }
    } else if (value.is_object()) {
        lua_newtable(lua);
        for (const auto &[key, item] : value.items()) {
            push(lua, item);
            lua_setfield(lua, -2, key.c_str());
        }
    } else {
        lua_pushnil(lua);
    }
}

/// Runs a verb and returns whether it succeeded. On failure, sets `failure` to the error text. The
/// error is raised in Lua by callVerb(), because lua_error jumps past the destructors of C++
/// objects.
bool runVerb(lua_State *lua, const ScenarioLanguage::Verb &verb, std::string &failure)
{
    try {
        Json arguments = Json::array();
        const int count = lua_gettop(lua);
        for (int index = 1; index <= count; ++index) {
            arguments.push_back(toJson(lua, index, 0));
        }
        push(lua, verb(arguments));
        return true;
    } catch (const std::exception &error) {
        failure = error.what();
        return false;
    }
}

int callVerb(lua_State *lua)
{
    const auto *verb
        = static_cast<const ScenarioLanguage::Verb *>(lua_touserdata(lua, lua_upvalueindex(1)));
    {
        std::string failure;
        if (runVerb(lua, *verb, failure)) {
            return 1;
        }
        luaL_where(lua, 1);
        lua_pushstring(lua, failure.c_str());
        lua_concat(lua, 2);
    }
    return lua_error(lua);
}

} // namespace

struct ScenarioLanguage::State
{
    lua_State *lua = luaL_newstate();
    /// Lua holds pointers to the verbs. A map does not move its values when others are added.
    std::map<std::string, Verb> verbs;
};

ScenarioLanguage::ScenarioLanguage()
    : m_state(std::make_unique<State>())
{
    const luaL_Reg libraries[] = {{LUA_GNAME, luaopen_base},
                                  {LUA_STRLIBNAME, luaopen_string},
                                  {LUA_TABLIBNAME, luaopen_table},
                                  {LUA_MATHLIBNAME, luaopen_math}};
    for (const luaL_Reg &library : libraries) {
        luaL_requiref(m_state->lua, library.name, library.func, 1);
        lua_pop(m_state->lua, 1);
    }
    for (const char *fileFunction : {"dofile", "loadfile"}) {
        lua_pushnil(m_state->lua);
        lua_setglobal(m_state->lua, fileFunction);
    }
}

ScenarioLanguage::~ScenarioLanguage()
{
    lua_close(m_state->lua);
}

void ScenarioLanguage::add(const std::string &name, Verb verb)
{
    Verb &stored = m_state->verbs[name];
    stored = std::move(verb);
    lua_pushlightuserdata(m_state->lua, &stored);
    lua_pushcclosure(m_state->lua, &callVerb, 1);
    lua_setglobal(m_state->lua, name.c_str());
}

std::string ScenarioLanguage::run(const std::string &script, const std::string &name)
{
    lua_State *lua = m_state->lua;
    const std::string chunk = "=" + name;
    if (luaL_loadbuffer(lua, script.data(), script.size(), chunk.c_str()) == LUA_OK
        && lua_pcall(lua, 0, 0, 0) == LUA_OK) {
        return {};
    }
    const char *text = lua_tostring(lua, -1);
    std::string error
        = text == nullptr ? "the script raised an error value that is not a string" : text;
    lua_pop(lua, 1);
    return error;
}

} // namespace pimentoward::standins
