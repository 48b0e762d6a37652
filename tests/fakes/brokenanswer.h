#pragma once

#include "core/enumnames.h"
#include "http/httpmessage.h"

#include <string>
#include <vector>

/** Answers that are no valid HTTP/1.1, or that a recipient does not understand in full, as raw bytes. */
namespace Plantainweir {

/** What is wrong with an answer that is otherwise sound. */
enum class BrokenAnswer {
    StatusShort,
    StatusLong,
    StatusNoNumber,
    NameWithBlank,
    NameBeforeBlank, ///< A blank between the name and the colon.
    NameBeforeTab,
    NameAfterBlank, ///< In the first line after the status line, so that it continues no other field.
    NameWithControl,
    NameWithNul,
    NameEmpty,
    LengthNameBeforeBlank,
    CodingNameBeforeBlank,
    LineWithoutColon,
    ValueWithControl,
    LineEndsWithoutReturn,
    HeadCutInStatus,
    HeadCutAfterStatusLine,
    HeadCutInName,
    HeadCutInValue,
    HeadCutAfterLine,
    HeadCutBeforeLastByte,
    BodyCut,
    ChunkCut,
    LastChunkMissing,
    TrailerCut,
    StatusZero,
    StatusBelowRange,
    StatusAboveRange,
    StatusLargest,
    ProtocolSwitched,
    LineFolded,
    LineFoldedByTab,
    LengthFolded, ///< The length continues another field, and the body ends early.
    TrailerFolded,
    CodingUnknown,
    CodingBeforeChunked,
    CodingBeforeChunkedInOwnLine,
    CodingBesideLength,
    ChunkedTwice,
    ChunkedInOldVersion,
};

constexpr std::array<EnumName<BrokenAnswer>, 40> enumNames(BrokenAnswer)
{
    return {{
        {BrokenAnswer::StatusShort, "status_short"},
        {BrokenAnswer::StatusLong, "status_long"},
        {BrokenAnswer::StatusNoNumber, "status_no_number"},
        {BrokenAnswer::NameWithBlank, "name_with_blank"},
        {BrokenAnswer::NameBeforeBlank, "name_before_blank"},
        {BrokenAnswer::NameBeforeTab, "name_before_tab"},
        {BrokenAnswer::NameAfterBlank, "name_after_blank"},
        {BrokenAnswer::NameWithControl, "name_with_control"},
        {BrokenAnswer::NameWithNul, "name_with_nul"},
        {BrokenAnswer::NameEmpty, "name_empty"},
        {BrokenAnswer::LengthNameBeforeBlank, "length_name_before_blank"},
        {BrokenAnswer::CodingNameBeforeBlank, "coding_name_before_blank"},
        {BrokenAnswer::LineWithoutColon, "line_without_colon"},
        {BrokenAnswer::ValueWithControl, "value_with_control"},
        {BrokenAnswer::LineEndsWithoutReturn, "line_ends_without_return"},
        {BrokenAnswer::HeadCutInStatus, "head_cut_in_status"},
        {BrokenAnswer::HeadCutAfterStatusLine, "head_cut_after_status_line"},
        {BrokenAnswer::HeadCutInName, "head_cut_in_name"},
        {BrokenAnswer::HeadCutInValue, "head_cut_in_value"},
        {BrokenAnswer::HeadCutAfterLine, "head_cut_after_line"},
        {BrokenAnswer::HeadCutBeforeLastByte, "head_cut_before_last_byte"},
        {BrokenAnswer::BodyCut, "body_cut"},
        {BrokenAnswer::ChunkCut, "chunk_cut"},
        {BrokenAnswer::LastChunkMissing, "last_chunk_missing"},
        {BrokenAnswer::TrailerCut, "trailer_cut"},
        {BrokenAnswer::StatusZero, "status_zero"},
        {BrokenAnswer::StatusBelowRange, "status_below_range"},
        {BrokenAnswer::StatusAboveRange, "status_above_range"},
        {BrokenAnswer::StatusLargest, "status_largest"},
        {BrokenAnswer::ProtocolSwitched, "protocol_switched"},
        {BrokenAnswer::LineFolded, "line_folded"},
        {BrokenAnswer::LineFoldedByTab, "line_folded_by_tab"},
        {BrokenAnswer::LengthFolded, "length_folded"},
        {BrokenAnswer::TrailerFolded, "trailer_folded"},
        {BrokenAnswer::CodingUnknown, "coding_unknown"},
        {BrokenAnswer::CodingBeforeChunked, "coding_before_chunked"},
        {BrokenAnswer::CodingBeforeChunkedInOwnLine, "coding_before_chunked_in_own_line"},
        {BrokenAnswer::CodingBesideLength, "coding_beside_length"},
        {BrokenAnswer::ChunkedTwice, "chunked_twice"},
        {BrokenAnswer::ChunkedInOldVersion, "chunked_in_old_version"},
    }};
}
static_assert(isEnumTableOrdered<BrokenAnswer>());

std::vector<BrokenAnswer> allBrokenAnswers();

/** What a server writes for one request. */
struct RawAnswer {
    std::string bytes;
    bool isClosing = false; ///< Whether the server closes the connection after the bytes.
};

/** Returns an answer with status 200 that keeps the connection open. */
RawAnswer soundAnswer(const HttpFields &fields, const std::string &body);
/** Returns an answer with @p fields and @p body, broken as @p kind says. @p body has at least two bytes. */
RawAnswer brokenAnswer(BrokenAnswer kind, const HttpFields &fields, const std::string &body);

}
